package jujubepath

import "time"

// Patience is the time limit of reads that bring much. Instances that start together share the store's reading rate, and
// a read that is given up and repeated takes its share twice, so the limit doubles until reads get through.
type Patience struct {
	// Least and Most bound the limit.
	Least, Most time.Duration
	// current is at least Least and at most Most, zero before the first outcome.
	current time.Duration
}

// Limit returns the present time limit.
func (p *Patience) Limit() time.Duration { return max(p.current, p.Least) }

// NoteTimeout takes a read that wasn't answered within a limit. Several reads may fail at the same limit.
func (p *Patience) NoteTimeout(limit time.Duration) {
	p.current = min(max(2*limit, p.Limit()), p.Most)
}

// NoteAnswer takes a read that was answered. Answers in less than a quarter of the limit halve it.
func (p *Patience) NoteAnswer(took time.Duration) {
	if took < p.Limit()/4 {
		p.current = max(p.Limit()/2, p.Least)
	}
}
