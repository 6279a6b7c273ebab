// Package quarantine decides which requests are kept away from the engines, because
// engines have ended while they ran them. It has no input, output or clock; every
// event comes with its time.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the size of a fingerprint. Requests come from anybody, so that
// nobody may be able to find a second request with the fingerprint of a first.
const fingerprintBytes = 16

// Fingerprint stands for all requests that ask for the same: it does not change when a
// request comes again under another ID, at another node, or in a later batch job.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint in hexadecimal, as it stands in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request is what the fingerprint is made of.
type Request struct {
	// Tenant is the sender; empty where the configuration knows no tenants.
	Tenant string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Fingerprint returns the request's fingerprint.
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
