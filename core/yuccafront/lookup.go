package yuccafront

import (
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// lookupPath is the path of lookup requests.
const lookupPath = "/where"

// LookupResponse is the JSON body of a lookup response.
type LookupResponse struct {
	// Entries lists the entries to use, best first.
	Entries []Endpoint `json:"entries"`
	// TTL is how long the response may be cached, in seconds.
	TTL int `json:"ttl"`
	// Version is the version of the rules in force.
	Version uint64 `json:"version"`
}

// Endpoint is an entry that a client may use.
type Endpoint struct {
	// Addr is the address to connect to, as host:port.
	Addr string `json:"addr"`
	// Region is the region that the entry runs in.
	Region string `json:"region"`
	// Domain is the failure domain that the entry runs in.
	Domain string `json:"domain"`
}

// Source provides the rules and the list of entries.
type Source interface {
	// Snapshot returns the current state. It is never nil.
	Snapshot() *yuccasync.Snapshot
}

// lookupHandler answers lookups and passes all other requests to the relay.
type lookupHandler struct {
	settings Settings
	source   Source
	relay    fasthttp.RequestHandler
}

func (l lookupHandler) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == lookupPath {
		l.lookup(ctx)
		return
	}
	l.relay(ctx)
}

// lookup writes the response to a lookup, or an error if the entry has no rules, the
// client address is invalid or the service is unknown.
func (l lookupHandler) lookup(ctx *fasthttp.RequestCtx) {
	snapshot := l.source.Snapshot()
	if !snapshot.Ready() {
		yuccarelay.WriteError(ctx, yuccaerror.Unready, yuccaerror.NotRun)
		return
	}
	addr, err := clientAddr(ctx)
	if err != nil {
		yuccarelay.WriteError(ctx, yuccaerror.Malformed, yuccaerror.NotRun)
		return
	}
	service := string(ctx.QueryArgs().Peek("service"))
	if _, ok := snapshot.Rules.Service(service); !ok {
		yuccarelay.WriteError(ctx, yuccaerror.UnknownService, yuccaerror.NotRun)
		return
	}
	region := snapshot.Table.Region(addr)
	// The hash spreads clients over the entries, separately for each service.
	hash := xxhash.Sum64String(addr.String() + service)
	response := LookupResponse{TTL: int(l.settings.LookupTTL / time.Second), Version: snapshot.Document.Version, Entries: []Endpoint{}}
	for _, e := range yuccalocator.RankFullLast(snapshot.View.Entries(), region, hash, l.full(service)) {
		response.Entries = append(response.Entries, endpointOf(e))
	}
	body, err := json.Marshal(response)
	if err != nil {
		yuccarelay.WriteError(ctx, yuccaerror.Internal, yuccaerror.NotRun)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// full returns a function that reports whether an entry has no free slot of the
// service.
func (l lookupHandler) full(service string) func(entry string) bool {
	if l.settings.Full == nil {
		return func(string) bool { return false }
	}
	return func(entry string) bool { return l.settings.Full(service, entry) }
}

func endpointOf(e yuccastore.Instance) Endpoint {
	return Endpoint{Addr: e.Addr, Region: e.Region, Domain: e.Domain}
}

// clientAddr returns the address in the lookup's parameter addr. Without this
// parameter it returns the address of the connection.
func clientAddr(ctx *fasthttp.RequestCtx) (netip.Addr, error) {
	if text := ctx.QueryArgs().Peek("addr"); len(text) > 0 {
		return netip.ParseAddr(string(text))
	}
	remote, err := netip.ParseAddrPort(ctx.RemoteAddr().String())
	return remote.Addr(), err
}

// writeReadError responds to a request that could not be read and closes the
// connection.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	yuccarelay.WriteError(ctx, ReadErrorKind(err), yuccaerror.NotRun)
	ctx.SetConnectionClose()
}

// writeRefusal responds to a request that is refused for lack of connections.
func writeRefusal(ctx *fasthttp.RequestCtx) {
	yuccarelay.WriteError(ctx, yuccaerror.Shed, yuccaerror.NotRun)
}

// ReadErrorKind returns the error kind for a request that could not be read: Large
// if its header exceeds the limit, Malformed otherwise.
func ReadErrorKind(err error) yuccaerror.Kind {
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		return yuccaerror.TooLarge
	}
	return yuccaerror.Malformed
}
