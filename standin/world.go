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

// deployment is the size of one of the users' worlds.
type deployment struct {
	regions  []string
	services []serviceSize
}

type serviceSize struct {
	name    string
	host    string
	servers int
	slots   int
	conns   int
	work    time.Duration
	method  string
	path    string
	size    int
	// rate is in requests per second from each region.
	rate float64
}

var deployments = map[string]deployment{
	"archive": {
		regions: []string{"palermo", "catania", "agrigento"},
		services: []serviceSize{
			{"search", "search.archivio.example", 16, 6, 300, 20 * time.Millisecond, "GET", "/search", 2000, 40},
			{"orders", "orders.archivio.example", 12, 4, 300, 40 * time.Millisecond, "POST", "/order", 200, 10},
			{"recordings", "audio.archivio.example", 12, 3, 300, 10 * time.Millisecond, "GET", "/file/vigil", 400_000, 4},
		},
	},
	"kiln": {
		regions: []string{"bangkok", "chiangmai", "khonkaen"},
		services: []serviceSize{
			{"browse", "recipes.kiln.example", 24, 9, 400, 10 * time.Millisecond, "GET", "/recipes", 4000, 60},
			{"ledger", "ledger.kiln.example", 12, 8, 400, 30 * time.Millisecond, "POST", "/publish", 300, 10},
			{"tiles", "tiles.kiln.example", 12, 3, 400, 10 * time.Millisecond, "GET", "/file/tile", 400_000, 4},
		},
	},
}

const (
	worldEntries = 7
	regionDelay  = 20 * time.Millisecond
	clientDelay  = 10 * time.Millisecond
	linkBytes    = 500_000_000 // 4 Gbit/s
	serverRate   = 20_000_000
	storePort    = 7000
	entryPort    = 7101
	peerPort     = 7102
	adminPort    = 7103
	serverPort   = 8080
	controlPort  = 7900

	callersPerRegion = 8
)

// entrySettings is what an entry needs to know of itself.
type entrySettings struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Domain string `toml:"domain"`
	Store  string `toml:"store"`
	Addr   string `toml:"addr"`
	Peer   string `toml:"peer"`
	Admin  string `toml:"admin"`
	TTL    string `toml:"ttl"`
	Linger string `toml:"linger"`
	// Seeds are other entries' peer addresses as this one reaches them.
	Seeds []string `toml:"seeds"`
}

func worldCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use:     "world archive|kiln",
		Short:   "Write the settings of every process of a deployment",
		Example: "  yucca-standin world archive --dir world",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, ok := deployments[args[0]]
			if !ok {
				return yuccaerror.New(yuccaerror.Usage, "unknown deployment %q; archive or kiln", args[0])
			}
			return d.write(dir)
		},
	}
	c.Flags().StringVar(&dir, "dir", "world", "folder for the settings files")
	return c
}

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

func (d deployment) region(i int) string { return d.regions[i%len(d.regions)] }

func (d deployment) domain(i int) string {
	return fmt.Sprintf("%s-%c", d.region(i), 'a'+i/len(d.regions)%2)
}

func entryAddr(i, port int) string { return fmt.Sprintf("127.0.1.%d:%d", i+1, port) }

func storeAddr(region int) string { return fmt.Sprintf("127.0.0.%d:%d", 10+region, storePort) }

// storeVia returns the platform's address as a region reaches it. The platform
// is in the first region.
func storeVia(region int) string {
	if region == 0 {
		return storeAddr(0)
	}
	return fmt.Sprintf("127.1.255.%d:%d", region, storePort)
}

func control(i int) string { return fmt.Sprintf("127.0.0.%d:%d", 2+i, controlPort) }

func (d deployment) entry(i int) entrySettings {
	return entrySettings{
		Name:   fmt.Sprintf("e%d", i+1),
		Region: d.region(i),
		Domain: d.domain(i),
		Store:  "http://" + storeVia(i%len(d.regions)),
		Addr:   entryAddr(i, entryPort),
		Peer:   entryAddr(i, peerPort),
		Admin:  entryAddr(i, adminPort),
		TTL:    "2s",
		Linger: "3s",
	}
}

// seeds returns the peer addresses of the other entries as one of them reaches
// them, those of its own region first.
func (d deployment) seeds(i int) []string {
	via := map[string]string{}
	for _, c := range d.crossings() {
		if c.from == i%len(d.regions) {
			via[c.real] = c.via
		}
	}
	var near, far []string
	for j := range worldEntries {
		peer := entryAddr(j, peerPort)
		switch {
		case j == i:
		case d.region(j) == d.region(i):
			near = append(near, peer)
		default:
			far = append(far, via[peer])
		}
	}
	return append(near, far...)
}

// instances returns the list as the region of each instance sees it.
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

// crossing is an instance's address as another region reaches it.
type crossing struct {
	from, to int
	real     string
	via      string
}

func (d deployment) crossings() []crossing {
	index := map[string]int{}
	for i, r := range d.regions {
		index[r] = i
	}
	var all []crossing
	for from := range d.regions {
		for n, i := range d.instances() {
			to := index[i.Region]
			if to == from {
				continue
			}
			host := fmt.Sprintf("127.1.%d.%d", from*len(d.regions)+to, n+1)
			all = append(all, crossing{from, to, i.Addr, fmt.Sprintf("%s:%d", host, serverPort)})
			if i.Peer != "" {
				all = append(all, crossing{from, to, i.Peer, fmt.Sprintf("%s:%d", host, peerPort)})
			}
		}
	}
	return all
}

func (d deployment) store() *storeSettings {
	s := &storeSettings{Control: control(0), Instances: d.instances()}
	for r, name := range d.regions {
		v := viewSettings{Addr: storeAddr(r), Region: name, Routes: map[string]string{}}
		for _, c := range d.crossings() {
			if c.from == r {
				v.Routes[c.real] = c.via
			}
		}
		s.Views = append(s.Views, v)
	}
	return s
}

func (d deployment) servers() *serverSettings {
	set := &serverSettings{Control: control(1), RestartDelay: yuccaconfig.Duration(2 * time.Second)}
	work := map[string]time.Duration{}
	for _, s := range d.services {
		work[s.name] = s.work
	}
	for _, i := range d.instances() {
		if i.Kind == yuccastore.KindServer {
			set.Servers = append(set.Servers, serverRow{
				Name: i.Name, Addr: i.Addr, Slots: i.Slots, Conns: i.Conns,
				Work: yuccaconfig.Duration(work[i.Services[0]]), Rate: serverRate, Shed: true,
			})
		}
	}
	return set
}

func (d deployment) links() *linkSettings {
	set := &linkSettings{Control: control(2)}
	for _, c := range d.crossings() {
		ends := []string{d.regions[c.from], d.regions[c.to]}
		if c.to < c.from {
			ends[0], ends[1] = ends[1], ends[0]
		}
		set.Links = append(set.Links, linkRow{
			Name: ends[0] + "-" + ends[1], Addr: c.via, To: c.real,
			Delay: yuccaconfig.Duration(regionDelay), Rate: linkBytes,
		})
	}
	for r := 1; r < len(d.regions); r++ {
		set.Links = append(set.Links, linkRow{
			Name: d.regions[0] + "-" + d.regions[r], Addr: storeVia(r), To: storeAddr(r),
			Delay: yuccaconfig.Duration(regionDelay), Rate: linkBytes,
		})
	}
	return set
}

func (d deployment) load(dir string) *loadSettings {
	set := &loadSettings{Out: filepath.Join(dir, "result.json"), Delay: yuccaconfig.Duration(2 * clientDelay)}
	for i := range worldEntries {
		set.Entries = append(set.Entries, entryAddr(i, entryPort))
		set.Admins = append(set.Admins, entryAddr(i, adminPort))
	}
	for i := range d.regions {
		for _, s := range d.services {
			set.Streams = append(set.Streams, streamSettings{
				Service: s.name, Host: s.host, Caller: fmt.Sprintf("10.%d.0.1", callerNet[d.regions[0]]+i), Callers: callersPerRegion,
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

// callerNet is the second byte of the first region's callers in the examples'
// block rules.
var callerNet = map[string]int{"palermo": 20, "bangkok": 30}
