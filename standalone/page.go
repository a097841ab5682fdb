package standalone

import (
	"encoding/json"

	"github.com/hollowgrade/hollowgrade"
)

// decodePage decodes records of the log from an offset on. A record that cannot be decoded has the offset
// that follows from its place and no body, so that all boxes skip it and read on.
func decodePage(doc []byte, from int64) (p hollowgrade.Page, err error) {
	next := from
	err = eachField(doc, func(name string, d *json.Decoder) error {
		switch name {
		case "records":
			return eachEntry(d, doc, func(e json.RawMessage) {
				r := decodeRecord(e, next)
				p.Records = append(p.Records, r)
				next = r.Offset + 1
			})
		case "earliest":
			return d.Decode(&p.Earliest)
		case "next":
			return d.Decode(&p.Next)
		default:
			return skipValue(d)
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
