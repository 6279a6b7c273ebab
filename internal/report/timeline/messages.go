package timeline

// Messages of the log lines that are used.
const (
	messageNodeStarted     = "node started"
	messageNodeStopping    = "node stopping"
	messageNodeStopped     = "node stopped"
	messageLinesLeftOut    = "log lines left out"
	messageConfiguration   = "configuration in force"
	messageTopicRead       = "topic read whole"
	messageTopicContact    = "topic contact changed"
	messagePathChanged     = "way to the log changed"
	messagePartitionLost   = "index partition out of reach"
	messagePartitionBack   = "index partition in reach"
	messageLeaseLost       = "lease contact lost"
	messageLeadershipGain  = "leadership gained"
	messageLeadershipLost  = "leadership lost"
	messageLeadershipGiven = "leadership released"
	messageRequestEnded    = "request ended"
	messageRequestRefused  = "request refused"
	messageEngineTried     = "engine tried"
	messageJobSubmitted    = "job handed in"
	messageJobEndAsked     = "job end asked"
	messageJobTakenUp      = "job taken up"
	messageJobEnded        = "job ended"
	messageItemStarted     = "item started"
	messageItemFinished    = "item finished"
)

// handler applies one message's line, whose JSON is raw.
type handler func(builder *Builder, line header, raw []byte) error

var handlers = map[string]handler{
	messageNodeStarted:     (*Builder).addProcessEvent,
	messageNodeStopping:    (*Builder).addProcessEvent,
	messageNodeStopped:     (*Builder).addProcessEvent,
	messageLinesLeftOut:    (*Builder).addSuppressed,
	messageConfiguration:   (*Builder).addConfiguration,
	messageTopicRead:       (*Builder).addTopicRead,
	messageTopicContact:    (*Builder).addTopicContact,
	messagePathChanged:     (*Builder).addPathChange,
	messagePartitionLost:   (*Builder).addPartitionContact,
	messagePartitionBack:   (*Builder).addPartitionContact,
	messageLeaseLost:       (*Builder).addLeaseLost,
	messageLeadershipGain:  (*Builder).addLeadership,
	messageLeadershipLost:  (*Builder).addLeadership,
	messageLeadershipGiven: (*Builder).addLeadership,
	messageRequestEnded:    (*Builder).addRequestEnded,
	messageRequestRefused:  (*Builder).addRequestRefused,
	messageEngineTried:     (*Builder).addTry,
	messageJobSubmitted:    (*Builder).addJobSubmitted,
	messageJobEndAsked:     (*Builder).addJobEndAsked,
	messageJobTakenUp:      (*Builder).addJobTakenUp,
	messageJobEnded:        (*Builder).addJobEnded,
	messageItemStarted:     (*Builder).addItemStarted,
	messageItemFinished:    (*Builder).addItemFinished,
}
