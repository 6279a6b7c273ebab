// Package quarantine determines which requests are quarantined because engines crashed
// while running them. It has no input, output or clock; the time of each event is
// passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the size of a fingerprint. Requests are untrusted, so finding a second
// request with the fingerprint of a given one must be infeasible.
const fingerprintBytes = 16

// Fingerprint identifies all requests with the same content: it does not depend on the
// request's ID, the receiving node, or the batch job.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal, as logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request is the content that a fingerprint covers.
type Request struct {
	// Tenant is the sender; empty if the configuration has no tenants.
	Tenant string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

func (r Request) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{r.Tenant, r.Method, r.Host, r.Target} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(r.Body)
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}
