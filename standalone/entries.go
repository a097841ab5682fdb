package standalone

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// errNotAnArray is returned for a document that has something else where a list is due.
var errNotAnArray = errors.New("it is not a list")

// eachEntry calls f with each entry of the list that the decoder is about to read from doc. An entry may
// be any JSON value, also one that is nested too deeply for [json.Unmarshal], so that f decides on each
// by itself.
func eachEntry(d *json.Decoder, doc []byte, f func(entry json.RawMessage)) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	if t == nil {
		return nil // null stands for an empty list
	}
	if t != json.Delim('[') {
		return errNotAnArray
	}
	for d.More() {
		from := d.InputOffset()
		if err = skipValue(d); err != nil {
			return err
		}
		f(bytes.Trim(doc[from:d.InputOffset()], ", \t\r\n"))
	}
	_, err = d.Token()
	return err
}

// skipValue reads one value, token by token.
func skipValue(d *json.Decoder) error {
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

// newDecoder returns a decoder of doc that takes numbers of any size.
func newDecoder(doc []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	return d
}

// eachField calls f with the name of each field of the object doc. F reads the field's value from the
// decoder.
func eachField(doc []byte, f func(name string, d *json.Decoder) error) error {
	d := newDecoder(doc)
	t, err := d.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return errors.New("it is not an object")
	}
	for d.More() {
		if t, err = d.Token(); err != nil {
			return err
		}
		if err = f(fmt.Sprint(t), d); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}
