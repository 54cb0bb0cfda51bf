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

const wherePath = "/where"

// LookupResponse is the answer to a look-up.
type LookupResponse struct {
	Entries []Endpoint `json:"entries"`
	// TTL is how long the answer may be kept, in seconds.
	TTL int `json:"ttl"`
	// Version is that of the rules in force.
	Version uint64 `json:"version"`
}

// Endpoint is one entry that a caller may use.
type Endpoint struct {
	Addr   string `json:"addr"`
	Region string `json:"region"`
	Domain string `json:"domain"`
}

// Source gives what the entry knows.
type Source interface {
	Snapshot() *yuccasync.Snapshot
}

// lookup answers look-ups and hands every other request to the relay.
type lookup struct {
	set    Settings
	source Source
	relay  fasthttp.RequestHandler
}

func (l lookup) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == wherePath {
		l.where(ctx)
		return
	}
	l.relay(ctx)
}

// where answers a look-up: which entries to use for a service, best first.
func (l lookup) where(ctx *fasthttp.RequestCtx) {
	snapshot := l.source.Snapshot()
	if !snapshot.Ready() {
		yuccarelay.WriteError(ctx, yuccaerror.Unready, yuccaerror.NotRun)
		return
	}
	addr, err := callerAddr(ctx)
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
	spread := xxhash.Sum64String(addr.String() + service)
	answer := LookupResponse{TTL: int(l.set.TTL / time.Second), Version: snapshot.Document.Version, Entries: []Endpoint{}}
	for _, e := range yuccalocator.RankFullLast(snapshot.View.Entries(), region, spread, l.full(service)) {
		answer.Entries = append(answer.Entries, place(e))
	}
	body, err := json.Marshal(answer)
	if err != nil {
		yuccarelay.WriteError(ctx, yuccaerror.Internal, yuccaerror.NotRun)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// full tells which entries have no slot of a service free.
func (l lookup) full(service string) func(entry string) bool {
	if l.set.Full == nil {
		return func(string) bool { return false }
	}
	return func(entry string) bool { return l.set.Full(service, entry) }
}

func place(e yuccastore.Instance) Endpoint {
	return Endpoint{Addr: e.Addr, Region: e.Region, Domain: e.Domain}
}

func callerAddr(ctx *fasthttp.RequestCtx) (netip.Addr, error) {
	if text := ctx.QueryArgs().Peek("addr"); len(text) > 0 {
		return netip.ParseAddr(string(text))
	}
	peer, err := netip.ParseAddrPort(ctx.RemoteAddr().String())
	return peer.Addr(), err
}

// refuse answers a request that could not be read.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	yuccarelay.WriteError(ctx, ReadErrorKind(err), yuccaerror.NotRun)
	ctx.SetConnectionClose()
}

// ReadErrorKind returns the kind of the error with which a request could not be
// read.
func ReadErrorKind(err error) yuccaerror.Kind {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return yuccaerror.Large
	}
	return yuccaerror.Malformed
}
