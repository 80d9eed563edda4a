package jujubebatch_test

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubebatch"
)

// BenchmarkBlob measures what an instance spends on one text of a result: the gateway of its engine encodes it, and the instance that
// a trainer reads from decodes it.
func BenchmarkBlob(b *testing.B) {
	codec := jujubebatch.NewCodec()
	random := rand.New(rand.NewSource(1))
	var text strings.Builder
	for range 1000 {
		fmt.Fprintf(&text, "%x ", random.Intn(1<<20))
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := codec.EncodeBlob(text.String(), 256<<10)
			assert.NilError(b, err)
		}
	})
	records, err := codec.EncodeBlob(text.String(), 256<<10)
	assert.NilError(b, err)
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var decoded string
			assert.NilError(b, codec.DecodeBlob(records, &decoded))
		}
	})
}

// TestReusedCoders guards against a blob that has bytes of another one, as the coders are reused: also after a corrupt one, and by
// several goroutines at a time.
func TestReusedCoders(t *testing.T) {
	codec := jujubebatch.NewCodec()
	texts := make([]string, 4)
	for i := range texts {
		texts[i] = strings.Repeat(fmt.Sprintf("text %d, ", i), 300*(i+1))
	}
	ended := make(chan error, len(texts))
	for _, text := range texts {
		go func() {
			for range 50 {
				records, err := codec.EncodeBlob(text, 1<<10)
				if err != nil {
					ended <- err
					return
				}
				var decoded string
				corrupt := append([]byte("WZ"), records[0][2:len(records[0])/2]...)
				if err := codec.DecodeBlob([][]byte{corrupt}, &decoded); err == nil {
					ended <- errors.New("a corrupt blob is decoded")
					return
				}
				if err := codec.DecodeBlob(records, &decoded); err != nil || decoded != text {
					ended <- errors.Errorf("%d bytes are decoded to %d: %v", len(text), len(decoded), err)
					return
				}
			}
			ended <- nil
		}()
	}
	for range texts {
		assert.NilError(t, <-ended)
	}
}
