package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// deployment describes a sample deployment, from which the settings files of all
// processes are generated.
type deployment struct {
	// regions are the names of the regions. The first one runs the platform.
	regions  []string
	services []serviceProfile
}

// serviceProfile describes a service, its servers and its load.
type serviceProfile struct {
	name string
	// host is the Host header of the service's requests.
	host string
	// servers is the number of backend servers in all regions.
	servers int
	// slots is the number of concurrent requests per server.
	slots int
	// conns is the maximum number of connections per server.
	conns int
	// work is how long a server works on a request.
	work time.Duration
	// method is the HTTP method of the requests.
	method string
	// path is the URL path of the requests.
	path string
	// size is the response size in bytes.
	size int
	// rate is the number of requests per second from each region.
	rate float64
}

// deployments are the sample deployments by name.
var deployments = map[string]deployment{
	"archive": {
		regions: []string{"palermo", "catania", "agrigento"},
		services: []serviceProfile{
			{"search", "search.archivio.example", 16, 6, 300, 20 * time.Millisecond, "GET", "/search", 2000, 40},
			{"orders", "orders.archivio.example", 12, 4, 300, 40 * time.Millisecond, "POST", "/order", 200, 10},
			{"recordings", "audio.archivio.example", 12, 3, 300, 10 * time.Millisecond, "GET", "/file/vigil", 400_000, 4},
		},
	},
	"kiln": {
		regions: []string{"bangkok", "chiangmai", "khonkaen"},
		services: []serviceProfile{
			{"browse", "recipes.kiln.example", 24, 9, 400, 10 * time.Millisecond, "GET", "/recipes", 4000, 60},
			{"ledger", "ledger.kiln.example", 12, 8, 400, 30 * time.Millisecond, "POST", "/publish", 300, 10},
			{"tiles", "tiles.kiln.example", 12, 3, 400, 10 * time.Millisecond, "GET", "/file/tile", 400_000, 4},
		},
	},
}

const (
	// worldEntries is the number of entries in a deployment.
	worldEntries = 7
	// regionDelay is the one-way network delay between two regions.
	regionDelay = 20 * time.Millisecond
	// clientDelay is the one-way network delay between a caller and its entry.
	clientDelay = 10 * time.Millisecond
	// linkBytesPerSecond is the bandwidth of a link between regions, 4 Gbit/s.
	linkBytesPerSecond = 500_000_000
	// serverBytesPerSecond bounds the speed of one response of a backend server.
	serverBytesPerSecond = 20_000_000
	// storePort is the port of the platform API.
	storePort = 7000
	// entryPort is the entries' port for callers.
	entryPort = 7101
	// peerPort is the entries' port for each other.
	peerPort = 7102
	// adminPort is the entries' port for operators.
	adminPort = 7103
	// serverPort is the port of the backend servers.
	serverPort = 8080
	// controlPort is the port of the control servers of yucca-standin.
	controlPort = 7900

	// callersPerRegion is the number of client addresses per region and service.
	callersPerRegion = 8
)

// entrySettings is the settings file of an entry.
type entrySettings struct {
	// Name is the name of the entry's instance.
	Name string `toml:"name"`
	// Region is the name of the entry's region.
	Region string `toml:"region"`
	// Domain is the name of the entry's failure domain.
	Domain string `toml:"domain"`
	// Store is the base URL of the platform API.
	Store string `toml:"store"`
	// Addr is the address for callers.
	Addr string `toml:"addr"`
	// Peer is the address for other entries.
	Peer string `toml:"peer"`
	// Admin is the address for operators.
	Admin string `toml:"admin"`
	// TTL is how long callers may use a lookup response, as a Go duration.
	TTL string `toml:"ttl"`
	// Linger is how long a draining entry keeps serving, as a Go duration.
	Linger string `toml:"linger"`
	// Seeds are the peer addresses of the other entries as this entry reaches
	// them.
	Seeds []string `toml:"seeds"`
}

// worldCommand returns the command that generates the settings files of a
// deployment.
func worldCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use:     "world archive|kiln",
		Short:   "Write the settings files of all processes of a sample deployment",
		Example: "  yucca-standin world archive --dir world",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, ok := deployments[args[0]]
			if !ok {
				return yuccaerror.New(yuccaerror.Usage, "unknown deployment %q, want archive or kiln", args[0])
			}
			return d.write(dir)
		},
	}
	c.Flags().StringVar(&dir, "dir", "world", "folder to write the settings files to")
	return c
}

// write writes the settings files of all processes to the folder dir.
func (d deployment) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := map[string]any{
		"store.toml":    d.store(),
		"server.toml":   d.servers(),
		"link.toml":     d.links(),
		"load.toml":     d.load(dir),
		"yuccactl.toml": map[string]string{"store": "http://" + storeAddr(0), "by": "operations"},
	}
	for i := range worldEntries {
		e := d.entry(i)
		e.Seeds = d.seeds(i)
		files[fmt.Sprintf("entry-%d.toml", i+1)] = e
	}
	for name, content := range files {
		text, err := toml.Marshal(content)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// region returns the region of the instance with index i.
func (d deployment) region(i int) string { return d.regions[i%len(d.regions)] }

// domain returns the failure domain of the instance with index i; each region has
// two.
func (d deployment) domain(i int) string {
	return fmt.Sprintf("%s-%c", d.region(i), 'a'+i/len(d.regions)%2)
}

// entryAddr returns the address of a port of the entry with index i.
func entryAddr(i, port int) string { return fmt.Sprintf("127.0.1.%d:%d", i+1, port) }

// storeAddr returns the address of the platform API for a region.
func storeAddr(region int) string { return fmt.Sprintf("127.0.0.%d:%d", 10+region, storePort) }

// storeAddrFrom returns the platform's address as a region reaches it. The
// platform is in the first region; the others reach it through a TCP proxy.
func storeAddrFrom(region int) string {
	if region == 0 {
		return storeAddr(0)
	}
	return fmt.Sprintf("127.1.255.%d:%d", region, storePort)
}

// controlAddr returns the address of the control server with index i: 0 is the
// store command, 1 the server command and 2 the link command.
func controlAddr(i int) string { return fmt.Sprintf("127.0.0.%d:%d", 2+i, controlPort) }

// entry returns the settings of the entry with index i, without Seeds.
func (d deployment) entry(i int) entrySettings {
	return entrySettings{
		Name:   fmt.Sprintf("e%d", i+1),
		Region: d.region(i),
		Domain: d.domain(i),
		Store:  "http://" + storeAddrFrom(i%len(d.regions)),
		Addr:   entryAddr(i, entryPort),
		Peer:   entryAddr(i, peerPort),
		Admin:  entryAddr(i, adminPort),
		TTL:    "2s",
		Linger: "3s",
	}
}

// seeds returns the peer addresses of the other entries as the entry with index i
// reaches them, those of its own region first.
func (d deployment) seeds(i int) []string {
	proxies := map[string]string{}
	for _, c := range d.proxiedAddrs() {
		if c.from == i%len(d.regions) {
			proxies[c.target] = c.proxy
		}
	}
	var sameRegion, otherRegions []string
	for j := range worldEntries {
		peer := entryAddr(j, peerPort)
		switch {
		case j == i:
		case d.region(j) == d.region(i):
			sameRegion = append(sameRegion, peer)
		default:
			otherRegions = append(otherRegions, proxies[peer])
		}
	}
	return append(sameRegion, otherRegions...)
}

// instances returns all instances with their real addresses, which their own
// region uses.
func (d deployment) instances() []yuccastore.Instance {
	var list []yuccastore.Instance
	for i := range worldEntries {
		e := d.entry(i)
		list = append(list, yuccastore.Instance{Name: e.Name, Kind: yuccastore.KindEntry, Addr: e.Addr, Peer: e.Peer, Admin: e.Admin, Region: e.Region, Domain: e.Domain})
	}
	n := 0
	for _, s := range d.services {
		for i := range s.servers {
			list = append(list, yuccastore.Instance{
				Name:     fmt.Sprintf("%s-%d", s.name, i+1),
				Kind:     yuccastore.KindServer,
				Addr:     fmt.Sprintf("127.0.2.%d:%d", n+1, serverPort),
				Region:   d.region(i),
				Domain:   d.domain(i),
				Slots:    s.slots,
				Conns:    s.conns,
				Services: []string{s.name},
			})
			n++
		}
	}
	return list
}

// proxiedAddr is an address of an instance that another region reaches through a
// TCP proxy.
type proxiedAddr struct {
	// from is the index of the region that connects.
	from int
	// to is the index of the instance's region.
	to int
	// target is the real address.
	target string
	// proxy is the address of the TCP proxy.
	proxy string
}

// proxiedAddrs returns, for each region, the addresses of all instances in the
// other regions.
func (d deployment) proxiedAddrs() []proxiedAddr {
	index := map[string]int{}
	for i, r := range d.regions {
		index[r] = i
	}
	var all []proxiedAddr
	for from := range d.regions {
		for n, i := range d.instances() {
			to := index[i.Region]
			if to == from {
				continue
			}
			host := fmt.Sprintf("127.1.%d.%d", from*len(d.regions)+to, n+1)
			all = append(all, proxiedAddr{from, to, i.Addr, fmt.Sprintf("%s:%d", host, serverPort)})
			if i.Peer != "" {
				all = append(all, proxiedAddr{from, to, i.Peer, fmt.Sprintf("%s:%d", host, peerPort)})
			}
		}
	}
	return all
}

// store returns the settings of the store command.
func (d deployment) store() *storeSettings {
	s := &storeSettings{Control: controlAddr(0), Instances: d.instances()}
	for r, name := range d.regions {
		v := viewSettings{Addr: storeAddr(r), Region: name, Routes: map[string]string{}}
		for _, c := range d.proxiedAddrs() {
			if c.from == r {
				v.Routes[c.target] = c.proxy
			}
		}
		s.Views = append(s.Views, v)
	}
	return s
}

// servers returns the settings of the server command.
func (d deployment) servers() *serverSettings {
	set := &serverSettings{Control: controlAddr(1), RestartDelay: yuccaconfig.Duration(2 * time.Second)}
	work := map[string]time.Duration{}
	for _, s := range d.services {
		work[s.name] = s.work
	}
	for _, i := range d.instances() {
		if i.Kind == yuccastore.KindServer {
			set.Servers = append(set.Servers, serverRow{
				Name: i.Name, Addr: i.Addr, Slots: i.Slots, Conns: i.Conns,
				Work: yuccaconfig.Duration(work[i.Services[0]]), Rate: serverBytesPerSecond, Shed: true,
			})
		}
	}
	return set
}

// links returns the settings of the link command. Links between the same two
// regions share a name in both directions.
func (d deployment) links() *linkSettings {
	set := &linkSettings{Control: controlAddr(2)}
	for _, c := range d.proxiedAddrs() {
		ends := []string{d.regions[c.from], d.regions[c.to]}
		if c.to < c.from {
			ends[0], ends[1] = ends[1], ends[0]
		}
		set.Links = append(set.Links, linkRow{
			Name: ends[0] + "-" + ends[1], Addr: c.proxy, To: c.target,
			Delay: yuccaconfig.Duration(regionDelay), Rate: linkBytesPerSecond,
		})
	}
	for r := 1; r < len(d.regions); r++ {
		set.Links = append(set.Links, linkRow{
			Name: d.regions[0] + "-" + d.regions[r], Addr: storeAddrFrom(r), To: storeAddr(r),
			Delay: yuccaconfig.Duration(regionDelay), Rate: linkBytesPerSecond,
		})
	}
	return set
}

// load returns the settings of the load command, which writes its results to the
// folder dir.
func (d deployment) load(dir string) *loadSettings {
	set := &loadSettings{Out: filepath.Join(dir, "result.json"), Delay: yuccaconfig.Duration(2 * clientDelay)}
	for i := range worldEntries {
		set.Entries = append(set.Entries, entryAddr(i, entryPort))
		set.Admins = append(set.Admins, entryAddr(i, adminPort))
	}
	for i := range d.regions {
		for _, s := range d.services {
			set.Streams = append(set.Streams, streamSettings{
				Service: s.name, Host: s.host, Caller: fmt.Sprintf("10.%d.0.1", callerSubnet[d.regions[0]]+i), Callers: callersPerRegion,
				Rate: s.rate, Method: s.method, Path: s.path, Size: s.size,
			})
		}
	}
	for _, p := range []struct {
		name   string
		length time.Duration
		factor float64
	}{
		{"calm", 8 * time.Second, 1},
		{"wave", 10 * time.Second, 3},
		{"server", 8 * time.Second, 1},
		{"region", 10 * time.Second, 1},
		{"stop", 10 * time.Second, 1},
		{"kill", 10 * time.Second, 1},
	} {
		set.Phases = append(set.Phases, phaseSettings{p.name, yuccaconfig.Duration(p.length), p.factor})
	}
	return set
}

// callerSubnet maps the first region of a deployment to the second byte of its
// client addresses, which the block rules of the examples refer to. The other
// regions have the next numbers.
var callerSubnet = map[string]int{"palermo": 20, "bangkok": 30}
