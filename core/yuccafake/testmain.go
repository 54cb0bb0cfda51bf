package yuccafake

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// rapidSeed is the seed of the property tests, fixed so that every run draws the
// same cases.
const rapidSeed = "20270327"

// RunTests runs the tests of a package with a fixed seed for property tests and
// fails when a goroutine leaks. The flag -rapid.seed overrides the seed. Call it
// from TestMain:
//
//	func TestMain(m *testing.M) { yuccafake.RunTests(m) }
func RunTests(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(rapidSeed); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m, ignoredGoroutines()...)
}

// ignoredGoroutines returns options that exclude goroutines of fasthttp that no call
// waits for. Most end within seconds; the default dialer has one, which exists once
// per process.
func ignoredGoroutines() []goleak.Option {
	return []goleak.Option{
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	}
}
