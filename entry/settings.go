package main

import (
	"net/netip"
	"net/url"
	"time"

	"yuccawell.example/core/yuccaconfig"
)

// settings is the content of an entry's settings file.
type settings struct {
	// Name is the entry's name in the platform's list of instances.
	Name string `toml:"name"`
	// Region is the name of the region that the entry runs in.
	Region string `toml:"region"`
	// Domain is the name of the entry's failure domain.
	Domain string `toml:"domain"`
	// Store is the base URL of the platform's object API.
	Store string `toml:"store"`
	// Addr is the address for callers as host:port.
	Addr string `toml:"addr"`
	// Peer is the address for other entries as host:port.
	Peer string `toml:"peer"`
	// Admin is the address for operators as host:port.
	Admin string `toml:"admin"`
	// Seeds are the peer addresses of other entries. The entry contacts them
	// until it has a list of entries from the platform.
	Seeds []string `toml:"seeds"`
	// LookupTTL is the time for which callers may cache the response to a lookup.
	LookupTTL yuccaconfig.Duration `toml:"ttl"`
	// DrainTime is the time for which a leaving entry still serves requests
	// after it is no longer in the responses to lookups.
	DrainTime yuccaconfig.Duration `toml:"linger"`
	// IdempotencyTTL is the time for which an idempotency key is remembered. It
	// must be the same in all entries.
	IdempotencyTTL yuccaconfig.Duration `toml:"keys"`
	// Log is the lowest level that is logged, such as info.
	Log string `toml:"log"`
}

// exampleSettings is the settings file that the settings command prints.
const exampleSettings = `# Settings of one entry.
name   = "e1"                     # name in the platform's list of instances
region = "palermo"
domain = "palermo-a"
store  = "http://127.0.0.1:7000"  # the platform's object API
addr   = "127.0.1.1:7101"         # for callers
peer   = "127.0.1.1:7102"         # for other entries
admin  = "127.0.1.1:7103"         # for operators
seeds  = ["127.0.1.2:7102"]       # other entries, contacted while the platform is down
ttl    = "5s"                     # how long callers may cache a lookup
linger = "10s"                    # how long a leaving entry still serves requests
keys   = "1h"                     # how long an idempotency key is remembered
log    = "info"                   # debug, info, warn or error
`

// minIdempotencyTTL is the shortest allowed IdempotencyTTL.
const minIdempotencyTTL = time.Minute

// defaultSettings returns the values of the settings that a file may leave out.
func defaultSettings() settings {
	return settings{
		LookupTTL:      yuccaconfig.Duration(5 * time.Second),
		DrainTime:      yuccaconfig.Duration(10 * time.Second),
		IdempotencyTTL: yuccaconfig.Duration(time.Hour),
		Log:            "info",
	}
}

// Validate returns all problems of the values.
func (s *settings) Validate() []yuccaconfig.Problem {
	var problems []yuccaconfig.Problem
	add := func(key, message, allowed string) {
		problems = append(problems, yuccaconfig.Problem{Key: key, Message: message, Allowed: allowed})
	}
	for _, v := range []struct{ key, value string }{{"name", s.Name}, {"region", s.Region}, {"domain", s.Domain}} {
		if v.value == "" {
			add(v.key, "missing", "a name")
		}
	}
	for _, v := range []struct{ key, value string }{{"addr", s.Addr}, {"peer", s.Peer}, {"admin", s.Admin}} {
		if _, err := netip.ParseAddrPort(v.value); err != nil {
			add(v.key, "not an address", "an IP address and port such as 127.0.0.1:7101")
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add("seeds", "not an address: "+seed, "IP addresses and ports such as 127.0.0.1:7102")
		}
	}
	if u, err := url.Parse(s.Store); err != nil || u.Scheme != "http" || u.Host == "" {
		add("store", "not an address", "a base URL such as http://127.0.0.1:7000")
	}
	if time.Duration(s.LookupTTL) < time.Second {
		add("ttl", "too short", "1s or more")
	}
	if time.Duration(s.IdempotencyTTL) < minIdempotencyTTL {
		add("keys", "too short", "1m or more, and longer than any caller retries a request")
	}
	if s.DrainTime < 0 {
		add("linger", "negative", "0s or more")
	}
	return problems
}
