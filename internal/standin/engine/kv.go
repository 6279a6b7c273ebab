package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// importLimit is the maximum number of unused imported KV caches.
const importLimit = 64

// kvData is the content of a KV export, which only identifies its prompt.
type kvData struct {
	PromptHash uint64 `json:"prompt_hash"`
}

// importedKV holds the most recent imports. It is not safe for concurrent use.
type importedKV struct {
	handles *simplelru.LRU[string, kvData]
}

func newImportedKV() *importedKV {
	// NewLRU fails only for a size below one.
	handles, _ := simplelru.NewLRU[string, kvData](importLimit, nil)
	return &importedKV{handles: handles}
}

// put stores an import and returns its handle.
func (i *importedKV) put(data kvData) string {
	handle := xid.New().String()
	i.handles.Add(handle, data)
	return handle
}

// consume removes an import and reports whether it belongs to the prompt.
func (i *importedKV) consume(handle string, promptHash uint64) bool {
	data, found := i.handles.Get(handle)
	if !found {
		return false
	}
	i.handles.Remove(handle)
	return data.PromptHash == promptHash
}

// exportKV returns the KV cache of a request that has started.
func (s *Server) exportKV(request engine.CancelRequest) (engine.KVExport, *engine.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.sequences[sequenceKey{request.RequestID, request.Attempt}]
	if !found || !current.started {
		return engine.KVExport{}, unknownStream()
	}
	data, err := json.Marshal(kvData{PromptHash: xxhash.Sum64String(current.request.Prompt)})
	if err != nil {
		return engine.KVExport{}, &engine.Refusal{Code: engine.CodeInvalid, Message: err.Error()}
	}
	return engine.KVExport{
		RequestID: request.RequestID,
		Tokens:    promptTokens(current.request.Prompt) + current.nextToken,
		Data:      data,
	}, nil
}

// importKV stores an export and returns the handle by which a request can use it.
func (s *Server) importKV(export engine.KVExport) (engine.KVHandle, error) {
	var data kvData
	if err := json.Unmarshal(export.Data, &data); err != nil {
		return engine.KVHandle{}, errors.Wrap(err, "decode KV data")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.KVHandle{Handle: s.imports.put(data)}, nil
}

func unknownStream() *engine.Refusal {
	return &engine.Refusal{Code: engine.CodeUnknownStream, Message: "no such request and attempt", Ran: true}
}
