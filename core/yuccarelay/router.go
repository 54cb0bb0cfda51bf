package yuccarelay

import (
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaroute"
)

// Router maps requests to routes and services.
type Router interface {
	// Route returns the route of a request with what belongs to it. The error is of
	// kind Unready before any rules are known, and of kind UnknownService if no route
	// matches.
	Route(h *fasthttp.RequestHeader) (Match, error)
	// Peek returns the route of a request, nil if there is none. It counts no request.
	Peek(h *fasthttp.RequestHeader) *yuccaroute.Route
}

// Match is the route of a request. All fields come from one version of the config.
type Match struct {
	// Route is the route.
	Route *yuccaroute.Route
	// Service is the name of the service that serves the request.
	Service string
	// Accounts are the client accounts, nil if there are none.
	Accounts *yuccaaccount.Directory
}

// hostRouter is the Router of the rules in force, which map host names to
// services.
type hostRouter struct{ source Source }

// Route implements Router.
func (b hostRouter) Route(h *fasthttp.RequestHeader) (Match, error) {
	snapshot := b.source.Snapshot()
	if !snapshot.Ready() {
		return Match{}, yuccaerror.New(yuccaerror.Unready, "no rules yet")
	}
	host := HostName(string(h.Host()))
	service, ok := snapshot.Rules.ServiceByHost(host)
	if !ok {
		return Match{}, yuccaerror.New(yuccaerror.UnknownService, "no service for host %q", host)
	}
	return Match{Route: &yuccaroute.Route{Idempotent: isIdempotent(h)}, Service: service.Name}, nil
}

// Peek implements Router.
func (b hostRouter) Peek(h *fasthttp.RequestHeader) *yuccaroute.Route {
	return &yuccaroute.Route{Idempotent: isIdempotent(h)}
}

// NewTableRouter returns a Router that uses a table of routes. The function
// tables returns the table in force, nil before any is known.
func NewTableRouter(tables func() *yuccaroute.Table) Router { return tableRouter{tables} }

// tableRouter is the Router of a table of routes.
type tableRouter struct{ tables func() *yuccaroute.Table }

// Route implements Router.
func (b tableRouter) Route(h *fasthttp.RequestHeader) (Match, error) {
	table := b.tables()
	if table == nil {
		return Match{}, yuccaerror.New(yuccaerror.Unready, "no routes yet")
	}
	host, path := hostAndPath(h)
	route, service, ok := table.Find(host, path)
	if !ok {
		return Match{}, yuccaerror.New(yuccaerror.UnknownService, "no route for host %q and path %q in version %d", host, path, table.Version())
	}
	return Match{Route: route, Service: service, Accounts: table.Accounts()}, nil
}

// Peek implements Router.
func (b tableRouter) Peek(h *fasthttp.RequestHeader) *yuccaroute.Route {
	table := b.tables()
	if table == nil {
		return nil
	}
	route, _ := table.Peek(hostAndPath(h))
	return route
}

// hostAndPath returns the host and the path that a request's route depends on.
func hostAndPath(h *fasthttp.RequestHeader) (host, path string) {
	return HostName(string(h.Host())), requestPath(string(h.RequestURI()))
}

// requestPath returns the path of a request target, unchanged. The target may
// be in absolute form.
func requestPath(target string) string {
	if _, rest, ok := strings.Cut(target, "://"); ok && !strings.HasPrefix(target, "/") {
		_, rest, _ = strings.Cut(rest, "/")
		target = "/" + rest
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// HostName returns a host in lower case, without its port and trailing dot.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
