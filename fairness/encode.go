package fairness

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// The numbers of the fields of an encoded summary, a protobuf message with repeated entries.
const (
	entriesField protowire.Number = 1

	kindField        protowire.Number = 1
	nameField        protowire.Number = 2
	sizeField        protowire.Number = 3
	askedMillisField protowire.Number = 4
	gotMillisField   protowire.Number = 5
	usualMillisField protowire.Number = 6
)

// errTooLarge is the error for an encoded summary that no account sends.
var errTooLarge = errors.New("the summary is too large")

// Marshal returns the summary as a protobuf message of [MaxSummaryBytes] at most.
func (s Summary) Marshal() (b []byte) {
	for _, e := range s.entries {
		b = protowire.AppendTag(b, entriesField, protowire.BytesType)
		b = protowire.AppendBytes(b, e.marshal())
	}
	return b
}

// size returns the length of an encoded entry within its summary.
func (e Entry) size() int {
	return protowire.SizeTag(entriesField) + protowire.SizeBytes(len(e.marshal()))
}

func (e Entry) marshal() (b []byte) {
	b = appendVarint(b, kindField, int64(e.Kind))
	if e.Name != "" {
		b = protowire.AppendTag(b, nameField, protowire.BytesType)
		b = protowire.AppendString(b, e.Name)
	}
	b = appendVarint(b, sizeField, int64(e.Size))
	b = appendVarint(b, askedMillisField, e.Asked.Milliseconds())
	b = appendVarint(b, gotMillisField, e.Got.Milliseconds())
	return appendVarint(b, usualMillisField, e.Usual.Milliseconds())
}

// appendVarint adds a field unless it is 0.
func appendVarint(b []byte, n protowire.Number, x int64) []byte {
	if x == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(x))
}

// Unmarshal decodes a summary. Fields that are unknown here and entries that can't be of an account
// are ignored.
func Unmarshal(b []byte) (s Summary, err error) {
	defer errs.Annotate(&err, "decode a summary of shares")
	if len(b) > MaxSummaryBytes {
		return Summary{}, errTooLarge
	}
	var es []Entry
	err = eachField(b, func(n protowire.Number, value []byte, _ uint64) error {
		if n != entriesField || value == nil {
			return nil
		}
		e, err := unmarshalEntry(value)
		es = append(es, e)
		return err
	})
	if err != nil {
		return Summary{}, err
	}
	return NewSummary(es...), nil
}

func unmarshalEntry(b []byte) (e Entry, err error) {
	err = eachField(b, func(n protowire.Number, value []byte, x uint64) error {
		switch n {
		case kindField:
			e.Kind = Kind(min(x, uint64(kinds)))
		case nameField:
			e.Name = string(value)
		case sizeField:
			e.Size = int(min(x, sizeClasses))
		case askedMillisField:
			e.Asked = milliseconds(x)
		case gotMillisField:
			e.Got = milliseconds(x)
		case usualMillisField:
			e.Usual = milliseconds(x)
		}
		return nil
	})
	return e, err
}

// milliseconds returns an encoded time. One that is out of bounds isn't valid in an entry.
func milliseconds(x uint64) time.Duration {
	if x > uint64(maxTold.Milliseconds()) {
		return -1
	}
	return time.Duration(x) * time.Millisecond
}

// eachField calls f with the fields of a message: with the value of those with a length, or with the
// number of those that are numbers.
func eachField(b []byte, f func(n protowire.Number, value []byte, x uint64) error) error {
	for len(b) > 0 {
		n, t, l := protowire.ConsumeTag(b)
		if l < 0 {
			return protowire.ParseError(l)
		}
		b = b[l:]
		var value []byte
		var x uint64
		switch t {
		case protowire.BytesType:
			value, l = protowire.ConsumeBytes(b)
		case protowire.VarintType:
			x, l = protowire.ConsumeVarint(b)
		default:
			l = protowire.ConsumeFieldValue(n, t, b)
		}
		if l < 0 {
			return protowire.ParseError(l)
		}
		b = b[l:]
		if err := f(n, value, x); err != nil {
			return err
		}
	}
	return nil
}
