package main

// modelService is the entry of a service of model engines.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "maxConns": 170, "healthPath": "/healthz",
		"engine": map[string]any{"kvCapacity": 52385, "models": []map[string]any{{"name": modelName}}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "maxConns": 100, "healthPath": "/healthz"}
}

// rolloutRoute is a route for batch jobs with the figures of the page's trainers.
func rolloutRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "routeKind": "rollout", "service": service,
		"timeoutMs": 10000, "targetMs": 400, "resultDueMs": 7500, "maxAttempts": 3, "queueTtlS": 40, "priority": 1,
		"resumable": true, "sticky": true,
	}
}

func liveRoute(name, prefix, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "routeKind": kind, "service": service,
		"timeoutMs": timeoutMs, "targetMs": 150, "maxAttempts": 2, "priority": 2,
	}
}

func configuration(version int, services, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "services": services, "routes": routes,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
}
