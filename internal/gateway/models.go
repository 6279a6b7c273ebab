package gateway

import (
	"net/http"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

// ModelList is the body of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"` // "list"
	Data   []Model `json:"data"`
}

// Model is a live service; ID is the model name that callers use.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"` // "model"
	OwnedBy string `json:"owned_by"`
}

// handleModels serves GET /v1/models with the live services of the policy table.
func (g *Gateway) handleModels(w http.ResponseWriter, _ *http.Request) {
	list := ModelList{Object: "list", Data: []Model{}}
	for _, row := range g.options.Tables.Table().Rows {
		if row.Kind == policy.KindLive {
			list.Data = append(list.Data, Model{ID: row.Service, Object: "model", OwnedBy: "corkpulley"})
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, list)
}
