package hollowgrade

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the size of a fingerprint: enough that nobody finds two requests
// that share one, and half of what a whole digest takes in messages and logs.
const fingerprintBytes = 16

// headBufferBytes is the room in bytes for what is digested beside the body; more takes an allocation.
const headBufferBytes = 512

// Fingerprint identifies a request by what it asks for and for whom, so that it is known again
// when it comes again under another id, at any gateway.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of a call of an organisation: a digest of the
// organisation, the method, the host, the path with its query, and the body. It leaves
// out what differs between two tries of one caller: the id, the key of several that an organisation
// has, the time that is left. Callers choose bodies, so the digest is one for which nobody can
// make two that are alike. It takes 1.0 us for a body of 1 KB and 0.73 ms for one of 1 MB, without an
// allocation (BenchmarkFingerprint); before, nothing was digested.
func NewFingerprint(organisation string, c Call) (f Fingerprint) {
	b := make([]byte, 0, headBufferBytes)
	for _, s := range []string{organisation, c.Method, c.Host, c.Target} {
		b = binary.BigEndian.AppendUint64(b, uint64(len(s))) // or the end of one could pass for the beginning of the next
		b = append(b, s...)
	}
	body := sha256.Sum256(c.Body)
	sum := sha256.Sum256(append(b, body[:]...))
	copy(f[:], sum[:])
	return f
}

// ParseFingerprint returns the fingerprint that [Fingerprint.String] wrote.
func ParseFingerprint(s string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != fingerprintBytes {
		return f, fmt.Errorf("%q is no fingerprint: it must be %d hexadecimal digits", s, 2*fingerprintBytes)
	}
	copy(f[:], b)
	return f, nil
}

// String returns the fingerprint in hexadecimal digits, and nothing for the zero value.
func (f Fingerprint) String() string {
	if f == (Fingerprint{}) {
		return ""
	}
	return hex.EncodeToString(f[:])
}
