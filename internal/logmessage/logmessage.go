// Package logmessage maps the log messages of older builds to the present ones, so that tools that read logs need to know
// only the latter. Nodes of two builds run side by side during an upgrade, and logs outlive the build that wrote them.
package logmessage

// renamed maps the messages of older builds to the present ones. docs/UPGRADING.md lists them for operators.
var renamed = map[string]string{
	"caller cut off, it takes nothing of its answer": "slow caller disconnected",
	"calls of the log failed":                        "log calls failed, usage by topic",
	"control record passed over":                     "control record skipped",
	"counts of use came too late":                    "usage counts arrived after their report was decided",
	"election of a runner ended":                     "election of a job runner failed",
	"engine entry of an earlier start":               "engine entry of an earlier start deferred",
	"engine gone":                                    "engine removed",
	"engine list followed":                           "engine list loaded",
	"engine started again":                           "engine restarted",
	"evacuation ordered":                             "evacuation change requested",
	"index partition in reach":                       "index partition reachable",
	"index partition out of reach":                   "index partition unreachable",
	"items wait for evacuated zones":                 "items wait: no usable engine outside evacuated zones",
	"job end asked":                                  "job end requested",
	"job handed in":                                  "job submitted",
	"job taken up":                                   "job accepted by its runner",
	"lease contact lost":                             "reading the lease records failed",
	"log lines left out":                             "log lines suppressed",
	"results not recorded":                           "failed to record results",
	"sending on after a standstill":                  "sending resumed after a suspension",
	"topic contact changed":                          "topic reachability changed",
	"topic read whole":                               "first full read of the topic completed",
	"use not reported yet":                           "usage not reported yet",
	"use reported":                                   "usage report attempted",
	"version named":                                  "weight version published",
	"way to the log changed":                         "switched between direct and relayed log calls",
	"weights ordered":                                "weight load ended",
	"zone of unknown region":                         "zone has no known region",
	"zone taken back":                                "zone evacuation ended",
}

// Current returns the present form of a message that an older build logged. Any other message is returned unchanged.
func Current(message string) string {
	if current, found := renamed[message]; found {
		return current
	}
	return message
}
