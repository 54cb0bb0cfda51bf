package main

import (
	"net/netip"
	"net/url"
	"time"

	"yuccawell.example/core/yuccaconfig"
)

// settings is the content of an entry's settings file.
type settings struct {
	// Name is the instance's identity in the platform's list.
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Domain string `toml:"domain"`
	// Store is the base address of the platform's object API.
	Store string `toml:"store"`
	// Addr, Peer and Admin are the addresses for callers, entries and operators.
	Addr  string `toml:"addr"`
	Peer  string `toml:"peer"`
	Admin string `toml:"admin"`
	// Seeds are the peer addresses of other entries, tried while the platform
	// has not given any.
	Seeds []string `toml:"seeds"`
	// LookupTTL is how long callers keep a look-up.
	LookupTTL yuccaconfig.Duration `toml:"ttl"`
	// DrainTime is how long a leaving entry serves after it left the look-ups.
	DrainTime yuccaconfig.Duration `toml:"linger"`
	// IdempotencyTTL is how long an idempotency key is remembered. All entries must have
	// the same.
	IdempotencyTTL yuccaconfig.Duration `toml:"keys"`
	// Log is the lowest level that is logged.
	Log string `toml:"log"`
}

const example = `# Settings of one entry.
name   = "e1"                     # identity in the platform's list
region = "palermo"
domain = "palermo-a"
store  = "http://127.0.0.1:7000"  # the platform's object API
addr   = "127.0.1.1:7101"         # for callers
peer   = "127.0.1.1:7102"         # for other entries
admin  = "127.0.1.1:7103"         # for operators
seeds  = ["127.0.1.2:7102"]       # other entries, for a start while the platform is down
ttl    = "5s"                     # how long callers keep a look-up
linger = "10s"                    # how long a leaving entry goes on serving
keys   = "1h"                     # how long an idempotency key is remembered
log    = "info"                   # debug, info, warn or error
`

// minKeys is the least time for which an idempotency key is remembered.
const minKeys = time.Minute

func defaults() settings {
	return settings{
		LookupTTL:      yuccaconfig.Duration(5 * time.Second),
		DrainTime:      yuccaconfig.Duration(10 * time.Second),
		IdempotencyTTL: yuccaconfig.Duration(time.Hour),
		Log:            "info",
	}
}

// Validate returns every fault of the values.
func (s *settings) Validate() []yuccaconfig.Problem {
	var faults []yuccaconfig.Problem
	fail := func(key, wrong, allowed string) {
		faults = append(faults, yuccaconfig.Problem{Key: key, Message: wrong, Allowed: allowed})
	}
	for _, v := range []struct{ key, value string }{{"name", s.Name}, {"region", s.Region}, {"domain", s.Domain}} {
		if v.value == "" {
			fail(v.key, "missing", "a name")
		}
	}
	for _, v := range []struct{ key, value string }{{"addr", s.Addr}, {"peer", s.Peer}, {"admin", s.Admin}} {
		if _, err := netip.ParseAddrPort(v.value); err != nil {
			fail(v.key, "not an address", "an IP number and port such as 127.0.0.1:7101")
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fail("seeds", "not an address: "+seed, "IP numbers and ports such as 127.0.0.1:7102")
		}
	}
	if u, err := url.Parse(s.Store); err != nil || u.Scheme != "http" || u.Host == "" {
		fail("store", "not an address", "a base address such as http://127.0.0.1:7000")
	}
	if time.Duration(s.LookupTTL) < time.Second {
		fail("ttl", "too short", "1s or more")
	}
	if time.Duration(s.IdempotencyTTL) < minKeys {
		fail("keys", "too short", "1m or more, and longer than any caller sends a request again")
	}
	if s.DrainTime < 0 {
		fail("linger", "negative", "0s or more")
	}
	return faults
}
