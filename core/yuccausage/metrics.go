package yuccausage

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxLabels is how many accounts have a counter of their own.
	maxLabels = 100
	// otherLabel is the label of all other accounts. An account cannot have this name.
	otherLabel = ""
)

// metrics counts what an exchange does.
type metrics struct {
	refused  *prometheus.CounterVec
	lent     *prometheus.CounterVec
	failed   prometheus.Counter
	messages prometheus.Counter
	bytes    prometheus.Counter

	mu sync.Mutex
	// labels holds the counters of the accounts that have one.
	labels map[string]prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yucca_quota_refused_total",
			Help: "Requests refused above the quota of their account, by account; an empty name stands for all accounts beyond the first 100.",
		}, []string{"account"}),
		lent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yucca_quota_loans_total",
			Help: "Requests at other entries that this entry was asked to admit on its part of a quota, by whether it did.",
		}, []string{"granted"}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yucca_quota_failed_loans_total",
			Help: "Loans that this entry has asked for without an answer in time.",
		}),
		messages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yucca_quota_messages_total",
			Help: "Messages about the use of quotas that the entry has published.",
		}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yucca_quota_bytes_total",
			Help: "Bytes of these messages.",
		}),
		labels: map[string]prometheus.Counter{},
	}
}

// collectors returns the metrics and a gauge of the number of limits.
func (m *metrics) collectors(limits func() int) []prometheus.Collector {
	return []prometheus.Collector{m.refused, m.lent, m.failed, m.messages, m.bytes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "yucca_quota_accounts",
		Help: "Accounts with a quota.",
	}, func() float64 { return float64(limits()) })}
}

// countRefused counts a refused request of the account.
func (m *metrics) countRefused(account string) {
	m.mu.Lock()
	c, ok := m.labels[account]
	if !ok {
		label := account
		if len(m.labels) >= maxLabels {
			label = otherLabel
		}
		c = m.refused.WithLabelValues(label)
		if label == account {
			m.labels[account] = c
		}
	}
	m.mu.Unlock()
	c.Inc()
}

// countLent counts a loan that another entry has asked for.
func (m *metrics) countLent(granted bool) {
	m.lent.WithLabelValues(strconv.FormatBool(granted)).Inc()
}

// countFailedLoan counts a loan that this entry has asked for without an answer.
func (m *metrics) countFailedLoan() { m.failed.Inc() }

// countSent counts a published message.
func (m *metrics) countSent(bytes int) {
	m.messages.Inc()
	m.bytes.Add(float64(bytes))
}
