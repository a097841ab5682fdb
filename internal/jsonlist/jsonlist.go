// Package jsonlist reads lists in JSON documents entry by entry, for lists of which others may write the
// entries: one that cannot be decoded does not make the others unreadable.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ErrNotAList is returned for a document that has something else where a list is due.
var ErrNotAList = errors.New("it is not a list")

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

// Skip reads one value of any depth.
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
		if depth == 0 {
			return nil
		}
	}
}

// NewDecoder returns a decoder of doc that takes numbers of any size.
func NewDecoder(doc []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	return d
}
