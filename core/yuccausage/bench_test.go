package yuccausage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaquota"
)

type noBus struct{}

func (noBus) Handle(string, yuccapeer.Handler) {}
func (noBus) Publish(string, []byte)           {}

func (noBus) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, yuccaerror.New(yuccaerror.Unreachable, "no other entry")
}

// BenchmarkTake admits requests of 100,000 accounts.
func BenchmarkTake(b *testing.B) {
	x := New("e0", 1, noBus{}, func() []string { return []string{"e0"} }, zerolog.Nop())
	limits, names := map[string]yuccaquota.Limit{}, []string{}
	for i := range 100_000 {
		names = append(names, fmt.Sprint("account-", i))
		limits[names[i]] = yuccaquota.Limit{Rate: 1e9, Burst: 1e9}
	}
	now := time.Now()
	x.ledger = yuccaquota.NewLedger("e0", 1, now.Add(-time.Hour))
	x.ledger.Tick(now, []string{"e0"})
	x.SetQuotas(limits)
	now = now.Add(time.Second)
	x.ledger.Tick(now, []string{"e0"})
	for _, name := range names {
		if err := x.Take(now, name); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i++; i == len(names) {
			i = 0
		}
		_ = x.Take(now, names[i])
	}
}

// BenchmarkSecond is the work of one entry in a second with 100 accounts that are busy at
// all entries: its ticks, and the messages of all others.
func BenchmarkSecond(b *testing.B) {
	for _, entries := range []int{7, 30, 110} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			names := make([]string, entries)
			limits := map[string]yuccaquota.Limit{}
			for i := range names {
				names[i] = fmt.Sprint("entry-", i)
			}
			for i := range 100 {
				limits[fmt.Sprint("account-", i)] = yuccaquota.Limit{Rate: 100, Burst: 100}
			}
			now := time.Now()
			x := New(names[0], 1, noBus{}, func() []string { return names }, zerolog.Nop())
			x.ledger = yuccaquota.NewLedger(names[0], 1, now)
			x.SetQuotas(limits)
			var others []*yuccaquota.Ledger
			for _, name := range names[1:] {
				l := yuccaquota.NewLedger(name, 1, now)
				l.Apply(now, l.Prepare(limits))
				others = append(others, l)
			}
			var work time.Duration
			messages, bytes, seconds := 0, 0, 0
			second := func() {
				for range time.Second / x.ledger.Interval() {
					now = now.Add(x.ledger.Interval())
					for account := range limits {
						for _, l := range others {
							for range 1 + (now.UnixMilli()/1000)%3 {
								l.Take(now, account)
							}
						}
						x.ledger.Take(now, account)
					}
					for i, l := range others {
						body, err := proto.Marshal(encode(l.Tick(now, names)))
						if err != nil {
							b.Fatal(err)
						}
						messages, bytes = messages+1, bytes+len(body)
						start := time.Now()
						if _, err := x.handleAt(now, names[i+1], body); err != nil {
							b.Fatal(err)
						}
						work += time.Since(start)
					}
					start := time.Now()
					body, err := proto.Marshal(encode(x.ledger.Tick(now, names)))
					work += time.Since(start)
					if err != nil {
						b.Fatal(err)
					}
					for _, l := range others {
						l.Receive(now, names[0], yuccaquota.Report{Incarnation: 1, Seq: uint64(len(body))})
					}
				}
			}
			for range 8 {
				second()
			}
			work, messages, bytes = 0, 0, 0
			for b.Loop() {
				second()
				seconds++
			}
			b.ReportMetric(float64(messages)/float64(seconds), "received/s")
			b.ReportMetric(float64(bytes)/float64(seconds), "bytes/s")
			b.ReportMetric(float64(work.Microseconds())/float64(seconds), "cpu-us/s")
		})
	}
}
