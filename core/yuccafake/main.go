package yuccafake

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// seed makes property tests draw the same cases on every run.
const seed = "20270327"

// RunTests runs the tests of a package with a fixed seed for property tests and
// fails when a goroutine is left behind. Call it from TestMain:
//
//	func TestMain(m *testing.M) { yuccafake.RunTests(m) }
func RunTests(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m, endingByThemselves()...)
}

// endingByThemselves names goroutines of fasthttp that no call waits for: those
// that end within seconds, and the one of its default dialer, of which a process
// has one.
func endingByThemselves() []goleak.Option {
	return []goleak.Option{
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	}
}
