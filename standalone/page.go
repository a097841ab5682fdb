package standalone

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/jsonlist"
)

// decodePage decodes records of the log from an offset on. A record that cannot be decoded has the offset
// that follows from its place and no body, so that all boxes skip it and read on.
func decodePage(doc []byte, from int64) (p hollowgrade.Page, err error) {
	next := from
	err = eachField(doc, func(name string, d *json.Decoder) error {
		switch name {
		case "records":
			return jsonlist.EachIn(d, doc, func(e json.RawMessage) {
				r := decodeRecord(e, next)
				p.Records = append(p.Records, r)
				next = r.Offset + 1
			})
		case "earliest":
			return d.Decode(&p.Earliest)
		case "next":
			return d.Decode(&p.Next)
		default:
			return jsonlist.Skip(d)
		}
	})
	return p, err
}

func decodeRecord(entry json.RawMessage, offset int64) hollowgrade.Record {
	var r struct {
		hollowgrade.Record
		Offset *int64 `json:"offset"`
	}
	if err := json.Unmarshal(entry, &r); err != nil || r.Offset == nil {
		return hollowgrade.Record{Offset: offset}
	}
	r.Record.Offset = *r.Offset
	return r.Record
}

// eachField calls f with the name of each field of the object doc. F reads the field's value from the
// decoder.
func eachField(doc []byte, f func(name string, d *json.Decoder) error) error {
	d := jsonlist.NewDecoder(doc)
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
