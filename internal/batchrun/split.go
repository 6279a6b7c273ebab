package batchrun

import (
	"slices"

	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// jobSplit divides the items of a job among the parts of its route. The items of a group share a prompt, which is
// processed once by a service, so they go to the same part.
type jobSplit struct {
	// parts are the route's parts for which services holds.
	parts []routes.Part
	// services holds the service of each group, or of each item without a group.
	services map[splitKey]string
	// groupSizes holds the number of items of each group; nil until it is needed.
	groupSizes map[string]int
}

// splitKey identifies items that go to the same part: those of a group, or a single item if group is empty.
type splitKey struct {
	group string
	item  int
}

// services returns the services that items of the route may run at.
func (route *Route) services() []string {
	if len(route.Parts) == 1 {
		return []string{route.Parts[0].Service}
	}
	var services []string
	for _, part := range route.Parts {
		if part.Weight > 0 {
			services = append(services, part.Service)
		}
	}
	return services
}

// distribute adds a number of items to the services of the route, by their weights.
func (route *Route) distribute(items int, to map[string]int) {
	total := 0
	for _, part := range route.Parts {
		total += max(part.Weight, 0)
	}
	if len(route.Parts) == 1 || total == 0 {
		for _, part := range route.Parts[:min(1, len(route.Parts))] {
			to[part.Service] += items
		}
		return
	}
	for _, part := range route.Parts {
		share := items * max(part.Weight, 0) / total
		to[part.Service] += share
		items, total = items-share, total-max(part.Weight, 0)
		if total == 0 {
			return
		}
	}
}

// serviceFor returns the service at which an item is to run by the weights of its route. The plan may choose another part
// if that one cannot take the item. Must be called with mu held.
func (r *Runner) serviceFor(job *openJob, index int, route *Route) string {
	split := &job.split
	if !slices.Equal(split.parts, route.Parts) {
		*split = jobSplit{parts: route.Parts, groupSizes: split.groupSizes}
		r.plan.SetServices(job.record.ID, route.services())
	}
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	key, size := splitKey{item: index}, 1
	if group := job.record.Items[index].Group; group != "" {
		key, size = splitKey{group: group}, job.groupSize(group)
	}
	service, picked := split.services[key]
	if !picked {
		service = r.splitter.PickFor(route.Name, route.Parts, size)
		if split.services == nil {
			split.services = make(map[splitKey]string)
		}
		split.services[key] = service
	}
	return service
}

// groupSize returns the number of items of a group.
func (j *openJob) groupSize(group string) int {
	if j.split.groupSizes == nil {
		j.split.groupSizes = make(map[string]int)
		for i := range j.record.Items {
			j.split.groupSizes[j.record.Items[i].Group]++
		}
	}
	return j.split.groupSizes[group]
}
