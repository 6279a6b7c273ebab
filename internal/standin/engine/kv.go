package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/xid"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// importLimit bounds the imported KV caches that wait to be used.
const importLimit = 64

// kvData is the content of a KV export: enough to know its prompt again.
type kvData struct {
	PromptHash uint64 `json:"prompt_hash"`
}

// importedCaches keeps the most recent imports. The owner locks it.
type importedCaches struct {
	handles *simplelru.LRU[string, kvData]
}

func newImportedCaches() *importedCaches {
	// The only error of NewLRU is a size below one.
	handles, _ := simplelru.NewLRU[string, kvData](importLimit, nil)
	return &importedCaches{handles: handles}
}

// put keeps an import and returns its handle.
func (i *importedCaches) put(data kvData) string {
	handle := xid.New().String()
	i.handles.Add(handle, data)
	return handle
}

// take uses an import up and reports whether it serves the prompt.
func (i *importedCaches) take(handle string, promptHash uint64) bool {
	data, found := i.handles.Get(handle)
	if !found {
		return false
	}
	i.handles.Remove(handle)
	return data.PromptHash == promptHash
}

// exportKV answers with the KV cache of a request that runs or has ended.
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
		Tokens:    promptTokens(current.request.Prompt) + current.next,
		Data:      data,
	}, nil
}

// importKV keeps an export for a request that names its handle.
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
