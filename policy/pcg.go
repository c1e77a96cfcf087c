package policy

// pcg is a permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 of output).
type pcg uint64

func newPCG(seed uint64) *pcg {
	p := pcg(seed)
	p.next()
	return &p
}

func (p *pcg) next() uint32 {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	x := uint32((old>>18 ^ old) >> 27)
	rotation := uint(old >> 59)
	return x>>rotation | x<<(-rotation&31)
}

// below returns a random number from 0 to n-1.
func (p *pcg) below(n int) int { return int(uint64(p.next()) * uint64(n) >> 32) }

// uniform returns a random number from 0 up to, but not including, 1.
func (p *pcg) uniform() float64 { return float64(p.next()) / (1 << 32) }

// directorByHash returns the index of a director, chosen by the hash of a name.
func directorByHash(name string, directors int) int {
	hash := uint32(2166136261) // FNV-1a
	for i := range len(name) {
		hash = (hash ^ uint32(name[i])) * 16777619
	}
	return int(hash % uint32(directors))
}
