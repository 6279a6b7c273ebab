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

// Messages are encoded as msgpack arrays without field names to limit control traffic. New fields must be
// appended at the end of a struct: decoders skip trailing fields that they do not know.

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

func decode(data []byte, message any) error {
	if err := msgpack.Unmarshal(data, message); err != nil {
		return errkind.New(errkind.InvalidRequest, "decode cluster message: %v", err)
	}
	return nil
}

// call sends a request to the node at address and decodes its response.
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

// decodeRequest decodes the cluster message carried by a peer request.
func decodeRequest(request peer.Request, message any) error {
	var data []byte
	if err := request.Decode(&data); err != nil {
		return err
	}
	return decode(data, message)
}

// sender identifies the node that sent a message.
type sender struct {
	ID      string
	Writer  string
	Zone    string
	Address string
	// Revision is the sender's active table revision.
	Revision int64
}

// probeRequest carries a membership message.
type probeRequest struct {
	Message  membership.Message
	Revision int64
}

// probeResponse answers a direct or indirect probe.
type probeResponse struct {
	Message  membership.Message
	Revision int64
	LogAge   logAge
}

// logAge is the time in milliseconds since the most recent known read to the end of the config stream;
// negative if there is none.
type logAge int64

const noLogContact logAge = -1

// gossipRequest pushes state to another node and pulls state from it. Within a zone it synchronizes
// memberships and records; between zones it pulls the records of the receiver's zone.
type gossipRequest struct {
	From sender
	// Digest is the sender's membership digest; 0 if membership is not synchronized.
	Digest uint64
	// Pull requests the records of the receiver's zone that are newer than Vector.
	Pull   bool
	Vector []byte
	// WantEngines requests the complete engine list, WantContacts addresses in other zones.
	WantEngines  bool
	WantContacts bool
	// Forward requests that the receiver pass the payload on within its own zone.
	Forward bool
	Payload []byte // packed payload
}

type gossipResponse struct {
	From   sender
	LogAge logAge
	// Want lists the records of which the requester has a newer version.
	Want []recordKey
	// Gone lists the records in Vector whose processes are no longer live members of the responder's zone.
	Gone []recordKey
	// WantMembers requests the requester's member list, since the membership digests differ.
	WantMembers bool
	Engines     engineStamp
	Payload     []byte // packed payload
}

// payload is the compressible part of a gossip message.
type payload struct {
	Updates  []membership.Update
	Records  []record
	Contacts []contact
	Engines  []EngineMachine
	Delta    *engineDelta
	Deaths   []deathNotice
}

func (p payload) empty() bool {
	return len(p.Updates)+len(p.Records)+len(p.Contacts)+len(p.Engines)+len(p.Deaths) == 0 && p.Delta == nil
}

// contact is an address of a node in a zone.
type contact struct {
	Zone    string
	Address string
}

// record is the state that a process publishes about itself. Higher versions replace lower ones.
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

// cellState is a message.CellDigest without the fields that are already in the record.
type cellState struct {
	Zone     string // empty if it is the record's zone
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

// newCellState returns the cell state of a digest for a record of the given zone.
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

// digest returns the digest of a cell in the given record.
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

// ageOf returns the age of a log contact, rounded up so that the receiver never takes it for more recent than it is.
func ageOf(contactAt, now time.Time) logAge {
	if contactAt.IsZero() {
		return noLogContact
	}
	return logAge(max(0, now.Sub(contactAt).Milliseconds()+1))
}
