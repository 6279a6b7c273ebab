package cluster

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/membership"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// The messages of this package travel as byte slices that hold msgpack arrays
// without field names, since control traffic has a budget. Append new fields
// at the end: a decoder skips those that it doesn't know.

// encode encodes a message.
func encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrap(err, "encode cluster message")
	}
	return buffer.Bytes(), nil
}

// decode decodes a message into a pointer.
func decode(data []byte, message any) error {
	if err := msgpack.Unmarshal(data, message); err != nil {
		return errkind.New(errkind.InvalidRequest, "decode cluster message: %v", err)
	}
	return nil
}

// call makes a call with a message of this package.
func (c *Cluster) call(ctx context.Context, address string, method peer.Method, request, response any) error {
	sent, err := encode(request)
	if err != nil {
		return err
	}
	var received []byte
	if err := c.options.Caller.Call(ctx, address, method, sent, &received); err != nil {
		return err
	}
	return decode(received, response)
}

// decodeRequest decodes an incoming message of this package.
func decodeRequest(request peer.Request, message any) error {
	var data []byte
	if err := request.Decode(&data); err != nil {
		return err
	}
	return decode(data, message)
}

// sender names the node behind a message.
type sender struct {
	ID      string
	Writer  string
	Zone    string
	Address string
	// Revision is the table revision in force there.
	Revision int64
}

// probeRequest carries a membership message.
type probeRequest struct {
	Message  membership.Message
	Revision int64
}

// probeResponse answers a probe or a request for one.
type probeResponse struct {
	Message  membership.Message
	Revision int64
	LogAge   logAge
}

// logAge is the time in milliseconds since the freshest known read to the end
// of the config stream; negative when there is none.
type logAge int64

const noLogContact logAge = -1

// gossipRequest pushes to and pulls from another node. In the same zone it
// keeps memberships and records equal; from another zone it pulls records.
type gossipRequest struct {
	From sender
	// Digest is the sender's membership digest; 0 asks for no membership.
	Digest uint64
	// Pull asks for the records of the receiver's zone that Vector lacks.
	Pull   bool
	Vector []byte
	// WantEngines asks for the whole engine list, WantContacts for addresses
	// in other zones.
	WantEngines  bool
	WantContacts bool
	// Forward asks the receiver to pass the records on inside its own zone.
	Forward bool
	Payload []byte // packed payload
}

// gossipResponse answers a gossipRequest.
type gossipResponse struct {
	From   sender
	LogAge logAge
	// Want lists the records of the receiver that the sender lacks.
	Want []recordKey
	// Gone lists the asked records that are not in the sender's zone any more.
	Gone []recordKey
	// WantMembers is set when the membership digests differ.
	WantMembers bool
	Engines     engineStamp
	Payload     []byte // packed payload
}

// payload is the bulk of a gossip message.
type payload struct {
	Updates  []membership.Update
	Records  []record
	Contacts []contact
	Engines  []EngineMachine
	Delta    *engineDelta
	Deaths   []death
}

func (p payload) empty() bool {
	return len(p.Updates)+len(p.Records)+len(p.Contacts)+len(p.Engines)+len(p.Deaths) == 0 && p.Delta == nil
}

// contact is an address to try in a zone.
type contact struct {
	Zone    string
	Address string
}

// record is what one process tells of itself; higher versions replace lower ones.
type record struct {
	ID       string
	Writer   string
	Address  string
	Zone     string
	Version  uint32
	Leaving  bool
	Revision int64
	Owned    []Ownership
	Cells    []cellState
}

// cellState is a message.CellDigest of the record's node, without what the
// record says anyway.
type cellState struct {
	Zone     string // empty for the record's zone
	Pool     string
	Index    int
	Sequence uint64
	Engines  int
	Slots    int
	Running  int
	Queued   int
	Models   []modelState
}

type modelState struct {
	Model   string
	Version uint64
	Engines int
}

func newCellState(digest message.CellDigest, zone string) cellState {
	state := cellState{
		Pool: digest.Cell.Pool, Index: digest.Cell.Index, Sequence: digest.Sequence,
		Engines: digest.Engines, Slots: digest.Slots, Running: digest.Running, Queued: digest.Queued,
	}
	if digest.Cell.Zone != zone {
		state.Zone = digest.Cell.Zone
	}
	for _, count := range digest.Models {
		state.Models = append(state.Models, modelState{Model: count.Model, Version: count.Version, Engines: count.Engines})
	}
	return state
}

func (s cellState) digest(of record) message.CellDigest {
	digest := message.CellDigest{
		Cell: message.CellID{Zone: s.Zone, Pool: s.Pool, Index: s.Index},
		Node: of.ID, Address: of.Address, Sequence: s.Sequence,
		Engines: s.Engines, Slots: s.Slots, Running: s.Running, Queued: s.Queued,
	}
	if digest.Cell.Zone == "" {
		digest.Cell.Zone = of.Zone
	}
	for _, model := range s.Models {
		count := message.ModelCount{Engines: model.Engines}
		count.Model, count.Version = model.Model, model.Version
		digest.Models = append(digest.Models, count)
	}
	return digest
}

// ageOf returns the age of a log contact for the wire, rounded up so that the
// contact never looks fresher than it is.
func ageOf(contactAt, now time.Time) logAge {
	if contactAt.IsZero() {
		return noLogContact
	}
	return logAge(max(0, now.Sub(contactAt).Milliseconds()+1))
}
