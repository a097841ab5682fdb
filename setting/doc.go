package setting

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/hollowgrade/hollowgrade"
)

// Doc documents a setting. It is built from the tags of the settings structs.
type Doc struct {
	Role    hollowgrade.Role
	Key     string // in the TOML file
	Flag    string
	Env     string
	Text    string
	Type    string
	Default string
	Allowed string
	Group   string
	Since   string

	field []int // index in the struct
	tag   reflect.StructTag
	kind  reflect.Type
}

// EnvPrefix is the prefix of the environment variables' names.
const EnvPrefix = "HOLLOWGRADE"

const firstRelease = "0.1"

// Docs returns the documentation of a role's settings, ordered by group and key.
func Docs(r hollowgrade.Role) []Doc {
	ds := collectDocs(r, reflect.TypeOf(Roles()[r]).Elem(), nil)
	slices.SortStableFunc(ds, func(a, b Doc) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Key, b.Key))
	})
	return ds
}

func collectDocs(r hollowgrade.Role, t reflect.Type, path []int) (ds []Doc) {
	for i := range t.NumField() {
		f := t.Field(i)
		x := append(slices.Clone(path), i)
		if f.Anonymous {
			ds = append(ds, collectDocs(r, f.Type, x)...)
			continue
		}
		n := f.Tag.Get("name")
		if n == "" {
			n = kebab(f.Name)
		}
		k := strings.ReplaceAll(n, "-", "_")
		ds = append(ds, Doc{
			Role:    r,
			Key:     k,
			Flag:    "--" + n,
			Env:     EnvPrefix + "_" + strings.ToUpper(k),
			Text:    f.Tag.Get("help"),
			Type:    typeName(f.Type),
			Default: f.Tag.Get("default"),
			Allowed: allowed(f.Tag),
			Group:   f.Tag.Get("group"),
			Since:   firstRelease,
			field:   x,
			tag:     f.Tag,
			kind:    f.Type,
		})
	}
	return ds
}

// kebab converts a Go name to a flag's name, as kong does.
func kebab(s string) string {
	var b strings.Builder
	for i, r := range s {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of strings"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.String:
		return "string"
	default:
		return "whole number"
	}
}

func allowed(t reflect.StructTag) string {
	if e := t.Get("enum"); e != "" {
		return strings.ReplaceAll(e, ",", ", ")
	}
	low, hasLow := t.Lookup("min")
	high, hasHigh := t.Lookup("max")
	switch {
	case hasLow && hasHigh:
		return fmt.Sprintf("%s to %s", low, high)
	case hasLow:
		return "at least " + low
	case hasHigh:
		return "at most " + high
	default:
		return ""
	}
}

// checkValue checks a value against the bounds in the tags.
func (d Doc) checkValue(v reflect.Value) error {
	if e := d.tag.Get("enum"); e != "" && !slices.Contains(strings.Split(e, ","), v.String()) {
		return fmt.Errorf("%s is %q, allowed: %s", d.Key, v.String(), d.Allowed)
	}
	n, ok := number(v)
	if !ok {
		return nil
	}
	low, hasLow := d.bound("min")
	high, hasHigh := d.bound("max")
	if hasLow && n < low || hasHigh && n > high {
		return fmt.Errorf("%s is %v, allowed: %s", d.Key, v.Interface(), d.Allowed)
	}
	return nil
}

func number(v reflect.Value) (float64, bool) {
	switch {
	case v.CanInt():
		return float64(v.Int()), true
	case v.CanFloat():
		return v.Float(), true
	default:
		return 0, false
	}
}

func (d Doc) bound(name string) (float64, bool) {
	s, ok := d.tag.Lookup(name)
	if !ok {
		return 0, false
	}
	if t, err := time.ParseDuration(s); err == nil && d.kind == reflect.TypeFor[time.Duration]() {
		return float64(t), true
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

// checkBounds checks all values of a settings struct.
func checkBounds(s any) error {
	v := reflect.ValueOf(s).Elem()
	for _, d := range collectDocs("", v.Type(), nil) {
		if err := d.checkValue(v.FieldByIndex(d.field)); err != nil {
			return err
		}
	}
	return nil
}

// setDefaults sets each setting to its default.
func setDefaults(s any) {
	v := reflect.ValueOf(s).Elem()
	for _, d := range collectDocs("", v.Type(), nil) {
		if d.Default == "" {
			continue
		}
		f := v.FieldByIndex(d.field)
		switch {
		case d.Type == "duration":
			t, _ := time.ParseDuration(d.Default)
			f.SetInt(int64(t))
		case f.CanInt():
			n, _ := strconv.ParseInt(d.Default, 10, 64)
			f.SetInt(n)
		case f.CanFloat():
			n, _ := strconv.ParseFloat(d.Default, 64)
			f.SetFloat(n)
		case f.Kind() == reflect.String:
			f.SetString(d.Default)
		}
	}
}
