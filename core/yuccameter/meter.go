// Package yuccameter counts what an entry does.
package yuccameter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"yuccawell.example/core/yuccarelay"
)

// Meter holds the metrics of an entry. Make one with New.
type Meter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	tries    prometheus.Counter
}

// New returns a meter with a registry of its own.
func New() *Meter {
	m := &Meter{
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
		tries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yucca_retries_total",
			Help: "Tries beyond the first of each request.",
		}),
	}
	m.registry.MustRegister(m.requests, m.bytes, m.latency, m.tries, collectors.NewGoCollector())
	return m
}

// Registry returns the registry that holds the metrics.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// Observe implements yuccarelay.Observer.
func (m *Meter) Observe(r yuccarelay.Record) {
	m.requests.WithLabelValues(r.Service, r.ServerRegion, r.Kind.String()).Inc()
	m.bytes.WithLabelValues(r.Service, r.ServerRegion).Add(float64(r.Bytes))
	m.latency.WithLabelValues(r.Service).Observe(r.TimeToHeader.Seconds())
	if r.Tries > 1 {
		m.tries.Add(float64(r.Tries - 1))
	}
}
