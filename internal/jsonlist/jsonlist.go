// Package jsonlist reads lists in JSON documents entry by entry, for lists of which others may write the
// entries: one that cannot be decoded does not make the others unreadable.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// maxDepth bounds how deeply a value may be nested: the decoder keeps some bytes for each level.
const maxDepth = 1 << 20

var (
	// ErrNotAList is returned for a document that has something else where a list is due.
	ErrNotAList = errors.New("it is not a list")
	// ErrTooDeep is returned for a value that is nested too deeply even to be skipped.
	ErrTooDeep = errors.New("a value is nested too deeply")
)

// Each calls f with each entry of the list doc. An entry may be any JSON value, also one that is nested too
// deeply for [json.Unmarshal]. Entries before a syntax error have been passed to f when it is returned.
func Each(doc []byte, f func(entry json.RawMessage)) error {
	return EachIn(NewDecoder(doc), doc, f)
}

// EachIn is [Each] for the list that the decoder of doc is about to read.
func EachIn(d *json.Decoder, doc []byte, f func(entry json.RawMessage)) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	if t == nil {
		return nil // null stands for an empty list
	}
	if t != json.Delim('[') {
		return ErrNotAList
	}
	for d.More() {
		from := d.InputOffset()
		if err = Skip(d); err != nil {
			return err
		}
		f(bytes.Trim(doc[from:d.InputOffset()], ", \t\r\n"))
	}
	_, err = d.Token()
	return err
}

// Skip reads one value.
func Skip(d *json.Decoder) error {
	for depth := 0; ; {
		t, err := d.Token()
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		switch t {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		switch {
		case depth == 0:
			return nil
		case depth > maxDepth:
			return ErrTooDeep
		}
	}
}

// NewDecoder returns a decoder of doc that takes numbers of any size.
func NewDecoder(doc []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	return d
}
