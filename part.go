package hollowgrade

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// PartID identifies a part of a prompt, which other prompts may share.
type PartID [fingerprintBytes]byte

// errNotPartID is returned for an id that isn't a hexadecimal number.
var errNotPartID = errors.New("the id of a part must be a hexadecimal number")

// ParsePartID parses a hexadecimal number. Ids that differ only in case or in leading zeros are the
// same. A number of more than 32 digits is replaced by its digest.
func ParsePartID(s string) (p PartID, err error) {
	if s == "" {
		return p, errNotPartID
	}
	s = strings.TrimLeft(s, "0")
	at := 2*len(p) - len(s) // of the digit in p
	for i := range len(s) {
		v, ok := hexDigit(s[i])
		if !ok {
			return PartID{}, errNotPartID
		}
		if n := at + i; n >= 0 {
			p[n/2] = p[n/2]<<4 | v
		}
	}
	if at < 0 {
		sum := sha256.Sum256([]byte(strings.ToLower(s)))
		copy(p[:], sum[:])
	}
	return p, nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (v byte, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	default:
		return 0, false
	}
}

// String returns the number without leading zeros.
func (p PartID) String() string {
	s := strings.TrimLeft(hex.EncodeToString(p[:]), "0")
	if s == "" {
		return "0"
	}
	return s
}
