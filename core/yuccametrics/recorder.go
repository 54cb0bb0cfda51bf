// Package yuccametrics collects the Prometheus metrics of an entry (a proxy instance
// of the system): a Recorder receives a record of each request that has ended in the relay.
//
//	metrics := yuccametrics.New()
//	relay := yuccarelay.New(yuccarelay.Options{Observer: metrics})
//	handler := promhttp.HandlerFor(metrics.Registry(), promhttp.HandlerOpts{})
package yuccametrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"yuccawell.example/core/yuccarelay"
)

// Recorder holds the metrics of an entry. It is a yuccarelay.Observer. Make one with
// New.
type Recorder struct {
	registry *prometheus.Registry
	// requests counts ended requests by service, server region and error kind.
	requests *prometheus.CounterVec
	// bytes counts the bytes of response bodies by service and server region.
	bytes *prometheus.CounterVec
	// latency is the time from a request's arrival to the head of its response
	// in seconds, by service.
	latency *prometheus.HistogramVec
	// retries counts the attempts after the first of each request.
	retries prometheus.Counter
	// accounts counts ended requests by account and error kind.
	accounts *prometheus.CounterVec
	// accountLabels bounds the values of the label account.
	accountLabels accountLabels
}

// New returns a Recorder with its own registry, which also has the metrics of the Go
// runtime.
func New() *Recorder {
	r := &Recorder{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yucca_requests_total",
			Help: "Requests that have ended, by service, region of the server and kind of error.",
		}, []string{"service", "region", "kind"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yucca_answer_bytes_total",
			Help: "Bytes of answers' bodies, by service and region of the server.",
		}, []string{"service", "region"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "yucca_answer_seconds",
			Help:    "Time from a request's arrival to the head of its answer, by service.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"service"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yucca_retries_total",
			Help: "Tries beyond the first of each request.",
		}),
		accounts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yucca_account_requests_total",
			Help: "Requests of client accounts that have ended, by account and kind of error. The first 100 accounts have a series of their own, all others share one.",
		}, []string{"account", "kind"}),
	}
	r.registry.MustRegister(r.requests, r.bytes, r.latency, r.retries, r.accounts, collectors.NewGoCollector())
	return r
}

// Registry returns the registry of the metrics.
func (m *Recorder) Registry() *prometheus.Registry { return m.registry }

// Observe implements yuccarelay.Observer. It counts one ended request.
func (m *Recorder) Observe(r yuccarelay.Record) {
	m.requests.WithLabelValues(r.Service, r.ServerRegion, r.Kind.String()).Inc()
	m.bytes.WithLabelValues(r.Service, r.ServerRegion).Add(float64(r.Bytes))
	m.latency.WithLabelValues(r.Service).Observe(r.TimeToHeader.Seconds())
	if r.Account != "" {
		m.accounts.WithLabelValues(m.accountLabels.label(r.Account), r.Kind.String()).Inc()
	}
	if r.Attempts > 1 {
		m.retries.Add(float64(r.Attempts - 1))
	}
}
