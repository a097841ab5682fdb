package sched

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks in which cached prefixes are compared.
const PrefixBlockBytes = 4096

// maxPrefixBlocks bounds the work and the memory for one prompt. Prompts that are equal up to this
// bound count as equal.
const maxPrefixBlocks = 64

// PrefixHashes returns a hash for each of the leading whole blocks of a prompt. Each hash covers all
// bytes up to the end of its block.
func PrefixHashes(prompt []byte) (hs []uint64) {
	var h uint64
	for i := 0; i < maxPrefixBlocks && len(prompt) >= PrefixBlockBytes; i++ {
		h = h*0x9e3779b97f4a7c15 + xxhash.Sum64(prompt[:PrefixBlockBytes])
		hs = append(hs, h)
		prompt = prompt[PrefixBlockBytes:]
	}
	return hs
}

// Prefixes records which upstreams have run which prompt prefixes. Its size is bounded: the older
// half is dropped when it is full.
type Prefixes struct {
	young, old map[uint64][]string
	limit      int
}

// maxUpstreamsPerPrefix bounds the upstreams recorded for one prefix.
const maxUpstreamsPerPrefix = 4

// NewPrefixes returns an empty index of at most limit prefixes.
func NewPrefixes(limit int) *Prefixes {
	return &Prefixes{young: map[uint64][]string{}, old: map[uint64][]string{}, limit: limit}
}

// Add records that an upstream has run a prompt with the given hashes.
func (p *Prefixes) Add(hs []uint64, upstream string) {
	for _, h := range hs {
		p.young[h] = withFirst(p.holders(h), upstream)
	}
	if len(p.young) > p.limit/2 {
		p.old, p.young = p.young, map[uint64][]string{}
	}
}

// Forget drops all records of an upstream, for example when its engine has been restarted.
func (p *Prefixes) Forget(upstream string) {
	for _, m := range []map[uint64][]string{p.young, p.old} {
		for h, us := range m {
			m[h] = without(us, upstream)
		}
	}
}

// Holder is an upstream that probably has the beginning of a prompt in its cache.
type Holder struct {
	Upstream string
	Bytes    int // of the prompt
}

// maxHoldersFound bounds the holders that one search returns: no shorter prefix is looked up once
// there are as many.
const maxHoldersFound = 8

// Holders returns the upstreams that probably have the longest beginnings of the prompt cached, the
// longest first.
func (p *Prefixes) Holders(hs []uint64) (found []Holder) {
	for i := len(hs); i > 0 && len(found) < maxHoldersFound; i-- {
		for _, u := range p.holders(hs[i-1]) {
			if !slices.ContainsFunc(found, func(h Holder) bool { return h.Upstream == u }) {
				found = append(found, Holder{Upstream: u, Bytes: i * PrefixBlockBytes})
			}
		}
	}
	return found
}

func (p *Prefixes) holders(h uint64) []string {
	if us, ok := p.young[h]; ok {
		return us
	}
	return p.old[h]
}

func withFirst(us []string, u string) []string {
	r := append(make([]string, 0, maxUpstreamsPerPrefix), u)
	for _, v := range us {
		if v != u && len(r) < maxUpstreamsPerPrefix {
			r = append(r, v)
		}
	}
	return r
}

func without(us []string, u string) (r []string) {
	for _, v := range us {
		if v != u {
			r = append(r, v)
		}
	}
	return r
}
