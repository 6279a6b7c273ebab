package timeline

// Messages of the log lines used to build a timeline.
const (
	messageNodeStarted          = "node started"
	messageNodeStopping         = "node stopping"
	messageNodeStopped          = "node stopped"
	messageLinesSuppressed      = "log lines suppressed"
	messageConfiguration        = "configuration in force"
	messageTopicRead            = "first full read of the topic completed"
	messageTopicReachability    = "topic reachability changed"
	messagePathChanged          = "switched between direct and relayed log calls"
	messagePartitionUnreachable = "index partition unreachable"
	messagePartitionReachable   = "index partition reachable"
	messageLeaseReadFailed      = "reading the lease records failed"
	messageLeadershipGained     = "leadership gained"
	messageLeadershipLost       = "leadership lost"
	messageLeadershipReleased   = "leadership released"
	messageRequestEnded         = "request ended"
	messageRequestRefused       = "request refused"
	messageEngineTried          = "engine tried"
	messageJobSubmitted         = "job submitted"
	messageJobEndRequested      = "job end requested"
	messageJobAccepted          = "job accepted by its runner"
	messageJobEnded             = "job ended"
	messageItemStarted          = "item started"
	messageItemFinished         = "item finished"
)

// handler applies a line, whose JSON is raw, to the builder's timeline.
type handler func(builder *Builder, line header, raw []byte) error

var handlers = map[string]handler{
	messageNodeStarted:          (*Builder).addProcessEvent,
	messageNodeStopping:         (*Builder).addProcessEvent,
	messageNodeStopped:          (*Builder).addProcessEvent,
	messageLinesSuppressed:      (*Builder).addSuppressed,
	messageConfiguration:        (*Builder).addConfiguration,
	messageTopicRead:            (*Builder).addTopicRead,
	messageTopicReachability:    (*Builder).addTopicContact,
	messagePathChanged:          (*Builder).addPathChange,
	messagePartitionUnreachable: (*Builder).addPartitionContact,
	messagePartitionReachable:   (*Builder).addPartitionContact,
	messageLeaseReadFailed:      (*Builder).addLeaseReadFailed,
	messageLeadershipGained:     (*Builder).addLeadership,
	messageLeadershipLost:       (*Builder).addLeadership,
	messageLeadershipReleased:   (*Builder).addLeadership,
	messageRequestEnded:         (*Builder).addRequestEnded,
	messageRequestRefused:       (*Builder).addRequestRefused,
	messageEngineTried:          (*Builder).addTry,
	messageJobSubmitted:         (*Builder).addJobSubmitted,
	messageJobEndRequested:      (*Builder).addJobEndRequested,
	messageJobAccepted:          (*Builder).addJobAccepted,
	messageJobEnded:             (*Builder).addJobEnded,
	messageItemStarted:          (*Builder).addItemStarted,
	messageItemFinished:         (*Builder).addItemFinished,
}
