package cluster

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	membersDescription = prometheus.NewDesc("corkpulley_cluster_members",
		"Known nodes that are not dead, by zone and state.", []string{"zone", "state"}, nil)
	reachableDescription = prometheus.NewDesc("corkpulley_cluster_reachable_nodes",
		"Nodes that this node can hear now, itself included.", nil, nil)
	knownDescription = prometheus.NewDesc("corkpulley_cluster_known_nodes",
		"Nodes known in the last ten minutes that did not leave by plan.", nil, nil)
	healthDescription = prometheus.NewDesc("corkpulley_cluster_local_health",
		"Local health score: 0 is well; timeouts are multiplied by the score + 1.", nil, nil)
	logContactDescription = prometheus.NewDesc("corkpulley_cluster_log_contact_age_seconds",
		"Age of the freshest known read to the end of the config stream.", nil, nil)
	enginesDescription = prometheus.NewDesc("corkpulley_cluster_engines",
		"Engines of the zone in the machine list.", nil, nil)
)

// collector exports the state of the cluster at each scrape.
type collector struct{ cluster *Cluster }

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- membersDescription
	descriptions <- reachableDescription
	descriptions <- knownDescription
	descriptions <- healthDescription
	descriptions <- logContactDescription
	descriptions <- enginesDescription
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	counts := make(map[[2]string]int)
	for _, member := range c.cluster.Members() {
		counts[[2]string{member.Zone, string(member.State)}]++
	}
	for labels, count := range counts {
		sendGauge(metrics, membersDescription, float64(count), labels[0], labels[1])
	}
	reachable, known := c.cluster.Reachability()
	sendGauge(metrics, reachableDescription, float64(reachable))
	sendGauge(metrics, knownDescription, float64(known))
	sendGauge(metrics, enginesDescription, float64(len(c.cluster.Engines(""))))
	c.cluster.mu.Lock()
	health, contact := c.cluster.node.Health(), c.cluster.logContact
	c.cluster.mu.Unlock()
	sendGauge(metrics, healthDescription, float64(health))
	if !contact.IsZero() {
		sendGauge(metrics, logContactDescription, time.Since(contact).Seconds())
	}
}

func sendGauge(metrics chan<- prometheus.Metric, description *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
}
