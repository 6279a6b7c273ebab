package duties

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/core/scaling"
)

const (
	scaleInterval = 300 * time.Millisecond
	// listingGracePeriod is how long after its boot time an engine may be listed. An order whose engines are missing
	// after that is repeated.
	listingGracePeriod = 3 * time.Second
	// capacityRetryDelay is the pause after an order that the platform could not satisfy.
	capacityRetryDelay = 2 * time.Second
)

// ScaledService is a service that is scaled by ordering engines.
type ScaledService struct {
	Name   string
	Bounds scaling.Bounds
	// BootTime is how long a new engine takes until it serves requests.
	BootTime time.Duration
	Demand   scaling.Demand
	// Engines is the number of engines in each zone, excluding draining ones.
	Engines map[string]int
}

// ScalerOptions configure a scaler.
type ScalerOptions struct {
	Platform Platform
	Term     lease.Term
	Holder   Holder
	// Services returns the services with their current demand.
	Services func() []ScaledService
	Logger   zerolog.Logger
}

// Scaler orders engines during one term of leadership.
type Scaler struct {
	options  ScalerOptions
	caller   caller
	planners map[string]*scaling.Planner
	orders   map[scaleSubject]*lastOrder
}

// scaleSubject is the subject of the orders for a service in a zone.
type scaleSubject struct{ service, zone string }

// String returns the subject as named in permits.
func (s scaleSubject) String() string { return "scale/" + s.service + "/" + s.zone }

// lastOrder is the latest order for a subject in this term.
type lastOrder struct {
	count int
	// repeatAt is when the order is repeated if its engines are missing.
	repeatAt time.Time
}

// NewScaler returns a scaler for one term.
func NewScaler(options ScalerOptions) *Scaler {
	return &Scaler{
		options: options, caller: caller{term: options.Term, holder: options.Holder},
		planners: make(map[string]*scaling.Planner), orders: make(map[scaleSubject]*lastOrder),
	}
}

// Run orders engines until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	for retry.Sleep(ctx, scaleInterval) {
		for _, service := range s.options.Services() {
			s.scale(ctx, service)
		}
	}
}

// scale evaluates a service and orders its missing engines.
func (s *Scaler) scale(ctx context.Context, service ScaledService) {
	planner, known := s.planners[service.Name]
	if !known {
		planner = scaling.NewPlanner()
		s.planners[service.Name] = planner
	}
	now := time.Now()
	planner.Observe(now, service.Demand, service.Engines)
	wanted := planner.Wanted(now, service.Bounds, service.Demand.Slots)
	for _, zone := range slices.Sorted(maps.Keys(wanted)) {
		s.order(ctx, service, zone, wanted[zone])
	}
}

// order sends the order for one zone if it is due.
func (s *Scaler) order(ctx context.Context, service ScaledService, zone string, count int) {
	subject := scaleSubject{service.Name, zone}
	last, ordered := s.orders[subject]
	present := service.Engines[zone]
	if !ordered && present == count {
		return
	}
	if ordered && last.count == count && (present >= count || time.Now().Before(last.repeatAt)) {
		return
	}
	order := EngineOrder{Service: service.Name, Zone: zone, Count: count}
	answer, err := s.caller.call(ctx, subject.String(), func(ctx context.Context, holder Holder) (Answer, error) {
		return s.options.Platform.OrderEngines(ctx, holder, order)
	})
	if answer == NotDone && err == nil {
		// No call was made: the lease is not valid, the quiet period is not over, or the permit has expired.
		return
	}
	s.options.Logger.Info().Err(err).Str("service", service.Name).Str("zone_ordered", zone).Int("count", count).
		Int("present", present).Int("items", service.Demand.Items).Stringer("answer", answer).
		Int64("fence", s.caller.holder.Fence).Msg("engines ordered")
	pause := capacityRetryDelay
	if answer == Done || answer == Unanswered {
		pause = service.BootTime + listingGracePeriod
	}
	s.orders[subject] = &lastOrder{count: count, repeatAt: time.Now().Add(pause)}
}
