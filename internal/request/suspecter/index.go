package suspecter

// index holds how many records with a key each digest has.
type index map[string]map[string]int

func (x index) add(key, digest string) {
	digests, ok := x[key]
	if !ok {
		digests = make(map[string]int)
		x[key] = digests
	}
	digests[digest]++
}

func (x index) remove(key, digest string) {
	digests := x[key]
	if digests[digest]--; digests[digest] <= 0 {
		delete(digests, digest)
	}
	if len(digests) == 0 {
		delete(x, key)
	}
}
