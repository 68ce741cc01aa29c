package cacher

// recent is a map that keeps its entries in order of last use.
type recent[K comparable, V any] struct {
	entries        map[K]*entry[K, V]
	newest, oldest *entry[K, V]
}

type entry[K comparable, V any] struct {
	key          K
	value        V
	newer, older *entry[K, V]
}

func newRecent[K comparable, V any]() *recent[K, V] {
	return &recent[K, V]{entries: map[K]*entry[K, V]{}}
}

// use returns the entry of a key as the most recently used one, and whether it was added with a zero value.
func (r *recent[K, V]) use(key K) (e *entry[K, V], added bool) {
	e = r.entries[key]
	if e == nil {
		e, added = &entry[K, V]{key: key}, true
		r.entries[key] = e
	} else {
		r.unlink(e)
	}
	e.older = r.newest
	if r.newest != nil {
		r.newest.newer = e
	}
	r.newest = e
	if r.oldest == nil {
		r.oldest = e
	}
	return e, added
}

func (r *recent[K, V]) remove(e *entry[K, V]) {
	r.unlink(e)
	delete(r.entries, e.key)
}

func (r *recent[K, V]) unlink(e *entry[K, V]) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		r.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		r.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}
