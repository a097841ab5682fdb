package hollowgrade

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is half the size of the digest: collisions still cannot be found, and messages and
// logs are shorter.
const fingerprintBytes = 16

// headBufferBytes is the size of the buffer for the digested fields other than the body. Longer fields
// cost an allocation.
const headBufferBytes = 512

// Fingerprint identifies a request by its content and organisation, so that all gateways recognise it
// when it is repeated under another id.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns a digest of the organisation, method, host, path with query, and body of a
// call. It omits what may differ between retries: the id, the API key and the remaining time. The hash
// is cryptographic because callers choose the bodies and must not be able to cause collisions. It
// takes 1.0 us for a body of 1 KB and 0.73 ms for 1 MB, without an allocation (BenchmarkFingerprint).
func NewFingerprint(organisation string, c Call) (f Fingerprint) {
	b := make([]byte, 0, headBufferBytes)
	for _, s := range []string{organisation, c.Method, c.Host, c.Target} {
		b = binary.BigEndian.AppendUint64(b, uint64(len(s))) // the length keeps field boundaries unambiguous
		b = append(b, s...)
	}
	body := sha256.Sum256(c.Body)
	sum := sha256.Sum256(append(b, body[:]...))
	copy(f[:], sum[:])
	return f
}

// ParseFingerprint parses the result of [Fingerprint.String].
func ParseFingerprint(s string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != fingerprintBytes {
		return f, fmt.Errorf("%q is no fingerprint: it must be %d hexadecimal digits", s, 2*fingerprintBytes)
	}
	copy(f[:], b)
	return f, nil
}

// String returns the fingerprint in hexadecimal digits, or an empty string for the zero value.
func (f Fingerprint) String() string {
	if f == (Fingerprint{}) {
		return ""
	}
	return hex.EncodeToString(f[:])
}
