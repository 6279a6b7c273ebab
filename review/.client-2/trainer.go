package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// job is a batch job as a trainer hands it in.
type job struct {
	id     string
	step   int
	groups int
	size   int
	// wanted is the number of whole groups that the trainer waits for.
	wanted int
	prefix string
	// path is the path of the submission.
	path string
}

func (j job) itemID(group, index int) string { return fmt.Sprintf("%s-%d-%d", j.id, group, index) }

func (j job) encode() []byte {
	var items []map[string]any
	for group := range j.groups {
		for index := range j.size {
			id := j.itemID(group, index)
			items = append(items, map[string]any{
				"id": id, "path": j.prefix + "x/" + id, "group": fmt.Sprintf("%s-g%d", j.id, group), "tokenCount": 2600,
				"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + id)),
				"headers": map[string]string{
					"X-Corkpulley-Model": modelName, "X-Corkpulley-Token-Count": "1016,1584",
					"X-Corkpulley-Prompt-Prefix": fmt.Sprintf("%x:1000,%x:16", group+1, 1<<20+group<<8+index),
				},
			})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"step": j.step, "model": modelName, "minVersion": 1, "desiredCount": j.wanted, "requests": items,
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return raw
}

var caller = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(ctx context.Context, method, address, path string, header map[string]string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = routeHost
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := caller.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// submit hands the job in at one node after the other until it is answered 202.
func (d *deployment) submit(ctx context.Context, j job) bool {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		node := d.nodes[attempt%len(d.nodes)]
		status, _, err := call(ctx, http.MethodPost, node.callers, j.path,
			map[string]string{"X-Corkpulley-Attempt-Id": j.id, "Content-Type": "application/json"}, j.encode())
		d.record.logf("trainer: POST %s at %s: status %d, error %v", j.path, node.name, status, err)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"nextToken"`
	Results []result `json:"results"`
}

// read reads the results from a position on.
func (d *deployment) read(ctx context.Context, node *nodeProcess, id string, from int) (page, int) {
	status, content, err := call(ctx, http.MethodGet, node.callers, fmt.Sprintf("/lots/%s?afterRev=%d", id, from), nil, nil)
	var answer page
	if err != nil || status != http.StatusOK || json.Unmarshal(content, &answer) != nil {
		return page{}, status
	}
	return answer, status
}

// readUntil reads the job twice a second until all is listed or the time is over.
func (d *deployment) readUntil(ctx context.Context, j job, deadline time.Time) []result {
	var results []result
	for turn := 0; time.Now().Before(deadline) && len(results) < j.groups*j.size && ctx.Err() == nil; turn++ {
		node := d.nodes[turn%len(d.nodes)]
		answer, status := d.read(ctx, node, j.id, len(results))
		results = append(results, answer.Results...)
		d.record.logf("trainer: GET from %d at %s: status %d, %d new, %d of %d", len(results)-len(answer.Results), node.name, status,
			len(answer.Results), len(results), j.groups*j.size)
		time.Sleep(retryPause)
	}
	return results
}
