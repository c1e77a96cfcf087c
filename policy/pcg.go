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
	turn := uint(old >> 59)
	return x>>turn | x<<(-turn&31)
}

// below draws from 0 to n-1.
func (p *pcg) below(n int) int { return int(uint64(p.next()) * uint64(n) >> 32) }

// share draws from 0 up to 1.
func (p *pcg) share() float64 { return float64(p.next()) / (1 << 32) }

// owner picks one of so many by a name.
func owner(name string, directors int) int {
	sum := uint32(2166136261) // FNV-1a
	for i := range len(name) {
		sum = (sum ^ uint32(name[i])) * 16777619
	}
	return int(sum % uint32(directors))
}
