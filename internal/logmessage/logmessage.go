// Package logmessage maps the log messages of older builds to the present ones, so that tools that read logs need to
// know only the latter. Nodes of two builds run side by side during an upgrade, and logs outlive the build that wrote
// them.
package logmessage

// renamed maps the messages of older builds to the present ones. docs/UPGRADING.md lists them for operators.
var renamed = map[string]string{
	"caller cut off, it takes nothing of its answer": "slow caller disconnected",
	"calls of the log failed":                        "log calls failed, usage by topic",
	"control record passed over":                     "control record skipped",
	"counts of use came too late":                    "usage counts arrived after their report was decided",
	"counts of use not written":                      "usage counts not written",
	"election of a runner ended":                     "election of a job runner failed",
	"encode checked record failed":                   "encoding a validated record failed",
	"engine entry of an earlier start":               "engine entry of an earlier start deferred",
	"engine gone":                                    "engine removed",
	"engine list followed":                           "engine list loaded",
	"engine lost a request":                          "connection to engine lost during a request",
	"engine started again":                           "engine restarted",
	"evacuation ordered":                             "evacuation change requested",
	"index partition in reach":                       "index partition reachable",
	"index partition out of reach":                   "index partition unreachable",
	"index record not decodable, skipped":            "index record skipped: it cannot be decoded",
	"items wait for evacuated zones":                 "items wait: no usable engine outside evacuated zones",
	"job end asked":                                  "job end requested",
	"job handed in":                                  "job submitted",
	"job handed over to another runner":              "job released to another runner",
	"job taken up":                                   "job accepted by its runner",
	"leadership claimed":                             "leadership claim sent",
	"lease contact lost":                             "reading the lease records failed",
	"log lines left out":                             "log lines suppressed",
	"log service answers again":                      "log service is available again",
	"nodes listed":                                   "new node addresses read from the directory",
	"peer accept failed":                             "accepting a peer connection failed",
	"record of an earlier lease":                     "lease record written after a newer claim",
	"request cleared by its answer":                  "crash records of a completed request deleted",
	"request kept away from engines":                 "request quarantined",
	"results not recorded":                           "failed to record results",
	"sending on after a standstill":                  "sending resumed after a suspension",
	"topic contact changed":                          "topic reachability changed",
	"topic history lost, reading in full":            "topic history trimmed, making a full read",
	"topic read whole":                               "first full read of the topic completed",
	"trial of a quarantined request":                 "trial claim for a quarantined request ended",
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
