package engine

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// order executes a fenced order. Fencing tokens are compared per model, because those of different models come
// from different log streams.
func (s *Server) order(order engine.Order) *engine.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := s.checkOrder(order)
	history := s.recordOrder(order, refusal != nil)
	if refusal != nil {
		return refusal
	}
	s.fences[order.Model] = order.Fence
	history.Result = ResultAccepted
	if order.Kind == engine.OrderLoad {
		s.enqueueLoad(order, history)
		return nil
	}
	s.setDraining(order.Kind == engine.OrderDrain)
	history.Result = ResultDone
	return nil
}

func (s *Server) checkOrder(order engine.Order) *engine.Refusal {
	switch order.Kind {
	case engine.OrderLoad:
		if order.Model == "" || order.Version == 0 {
			return &engine.Refusal{Code: engine.CodeInvalid, Message: "a load needs a model and a version"}
		}
	case engine.OrderDrain, engine.OrderServe:
		if order.Model != "" {
			return &engine.Refusal{Code: engine.CodeInvalid, Message: "a change of role names no model"}
		}
	default:
		return &engine.Refusal{Code: engine.CodeInvalid, Message: "unknown kind of order"}
	}
	if highest := s.fences[order.Model]; order.Fence < highest {
		return &engine.Refusal{Code: engine.CodeStaleFence, Message: "a higher fence was seen", Fence: highest}
	}
	return nil
}

func (s *Server) recordOrder(order engine.Order, refused bool) *OrderHistory {
	history := &OrderHistory{Order: order, ReceivedUnixNS: time.Now().UnixNano(), Refused: refused}
	if s.config.History {
		s.orders = append(s.orders, history)
	}
	return history
}
