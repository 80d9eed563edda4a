package jujubehttp_test

import (
	"bufio"
	"bytes"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubepier.example/core/modules/jujubehttp"
)

// FuzzHeadMeter guards against heads that the guard counts in another way when they arrive in other parts, and against an end of the
// head that isn't where net/http finds it.
func FuzzHeadMeter(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nbody\n\n", "GET / HTTP/1.1\nHost: h\n\nbody", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "\n\n\n\n", "\r\r\n\n", "0\n\r\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\na: b\r\n c\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n\n\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		for random := range int64(4) {
			f.Add([]byte(seed), random)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, seed int64) {
		var whole jujubehttp.HeadMeter
		after := whole.Add(data)
		random := rand.New(rand.NewSource(seed))
		var parts jujubehttp.HeadMeter
		afterParts := 0
		for rest := data; len(rest) > 0; {
			size := 1 + random.Intn(min(len(rest), 5))
			afterParts += parts.Add(rest[:size])
			rest = rest[size:]
		}
		assert.Equal(t, parts.Lines, whole.Lines)
		assert.Equal(t, parts.Ended, whole.Ended)
		assert.Equal(t, afterParts, after)
		assert.Assert(t, whole.Lines <= bytes.Count(data, []byte("\n")))
		reader := bufio.NewReaderSize(bytes.NewReader(data), max(16, len(data)))
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Assert(t, whole.Ended, "net/http has parsed %q", data)
		assert.Equal(t, after, len(rest))
	})
}

// TestChoiceOfHolder guards against a choice that depends on the order of the connections, closes small holders for large ones, or a
// running request while a client is waited for.
func TestChoiceOfHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		need := rapid.IntRange(0, 10_000).Draw(r, "need")
		var holders []jujubehttp.Holder
		for i := range rapid.IntRange(1, 12).Draw(r, "count") {
			holders = append(holders, jujubehttp.Holder{
				Serial: i, Held: rapid.IntRange(0, 100_000).Draw(r, "held"), Unwritten: rapid.IntRange(0, 9).Draw(r, "unwritten"),
				Age: time.Duration(rapid.IntRange(0, 5).Draw(r, "age")) * time.Second, IsWaiting: rapid.Bool().Draw(r, "waiting"),
				IsSilent: rapid.Bool().Draw(r, "silent"), IsIdle: rapid.Bool().Draw(r, "idle"), Moved: rapid.IntRange(0, 400_000).Draw(r, "moved"),
			})
		}
		choose := func(isBetter func(h jujubehttp.Holder, best *jujubehttp.Holder) bool) *jujubehttp.Holder {
			var first *jujubehttp.Holder
			for round := range 2 {
				var best *jujubehttp.Holder
				for _, h := range holders {
					if isBetter(h, best) {
						best = &h
					}
				}
				if round == 1 {
					assert.Assert(t, (first == nil) == (best == nil) && (best == nil || *first == *best), "%+v, %+v", first, best)
				}
				first = best
				slices.Reverse(holders)
			}
			return first
		}
		forMemory := choose(func(h jujubehttp.Holder, best *jujubehttp.Holder) bool { return h.BetterForMemory(best, need) })
		if forMemory != nil {
			assert.Assert(t, forMemory.Held > 2*need)
			for _, h := range holders {
				assert.Assert(t, forMemory.IsWaiting || !h.IsWaiting || h.Held <= 2*need)
			}
		}
		if chosen := choose(jujubehttp.Holder.BetterForConnection); chosen != nil {
			assert.Assert(t, chosen.IsWaiting && chosen.Age >= time.Second)
		}
		if chosen := choose(jujubehttp.Holder.BetterForBody); chosen != nil {
			assert.Assert(t, chosen.IsWaiting && !chosen.IsIdle && float64(chosen.Moved) < chosen.Age.Seconds()*(64<<10))
		}
	})
}
