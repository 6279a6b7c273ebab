package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintDependsOnEachField(t *testing.T) {
	request := Request{Tenant: "t", Method: "POST", Host: "h", Target: "/p?q=1", Body: []byte("body")}
	same := request
	same.Body = []byte("body")
	assert.Equal(t, same.Fingerprint(), request.Fingerprint())

	for name, change := range map[string]func(*Request){
		"tenant": func(r *Request) { r.Tenant = "u" },
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "i" },
		"query":  func(r *Request) { r.Target = "/p?q=2" },
		"body":   func(r *Request) { r.Body = []byte("bodz") },
		// Adjacent fields are delimited.
		"boundary of host and target": func(r *Request) { r.Host, r.Target = "h/", "p?q=1" },
	} {
		other := request
		change(&other)
		assert.Assert(t, other.Fingerprint() != request.Fingerprint(), name)
	}
}
