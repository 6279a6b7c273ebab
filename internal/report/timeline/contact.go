package timeline

import "encoding/json"

// Labels of Timeline.Contact.
const (
	ContactLost     = "lost"
	ContactRegained = "regained"
	PathThroughPeer = "path: through a peer"
	PathDirect      = "path: direct"
)

// Labels of Timeline.Processes.
const (
	NodeStarted  = "started"
	NodeStopping = "stopping"
	NodeStopped  = "stopped"
)

type contactRecord struct {
	Topic     string `json:"topic"`
	Reachable bool   `json:"reachable"`
	Direct    bool   `json:"direct"`
}

func (b *Builder) addTopicRead(line header, raw []byte) error {
	var record contactRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	b.timeline.Topics.add(line.Time, record.Topic)
	b.progress.add(line.Time)
	return nil
}

func (b *Builder) addTopicContact(line header, raw []byte) error {
	var record contactRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	b.addContact(line, record.Reachable)
	return nil
}

func (b *Builder) addPartitionContact(line header, _ []byte) error {
	b.addContact(line, line.Message == messagePartitionReachable)
	return nil
}

func (b *Builder) addLeaseReadFailed(line header, _ []byte) error {
	b.addContact(line, false)
	return nil
}

func (b *Builder) addContact(line header, reachable bool) {
	label := ContactLost
	if reachable {
		label = ContactRegained
		b.progress.add(line.Time)
	}
	b.timeline.Contact.add(line.Time, label)
}

func (b *Builder) addPathChange(line header, raw []byte) error {
	var record contactRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	label := PathThroughPeer
	if record.Direct {
		label = PathDirect
	}
	b.timeline.Contact.add(line.Time, label)
	return nil
}

// processLabels maps messages to the labels of Timeline.Processes.
var processLabels = map[string]string{
	messageNodeStarted:  NodeStarted,
	messageNodeStopping: NodeStopping,
	messageNodeStopped:  NodeStopped,
}

func (b *Builder) addProcessEvent(line header, _ []byte) error {
	b.timeline.Processes.add(line.Time, processLabels[line.Message])
	if line.Message == messageNodeStarted {
		b.starting[line.Node] = true
	}
	if line.Message != messageNodeStopping {
		b.addLeadershipEvent(leadershipEvent{at: line.Time, node: line.Node, message: line.Message})
	}
	return nil
}
