package jujubepublish_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/ctl/services/jujubepublish"
)

func asErrorType[T error](err error, target *T) bool { return errors.As(err, target) }

type fakeInstance struct {
	status model.Status
	err    error
}

func (f fakeInstance) Address() string { return string(f.status.Instance) }

func (f fakeInstance) Status(context.Context) (model.Status, error) { return f.status, f.err }

// TestPromote guards against promoting a document that isn't in force on all instances of the trial environment, and
// against changing its bytes on the way to production.
func TestPromote(t *testing.T) {
	document, err := os.ReadFile("../../../examples/himal-dan.yaml")
	assert.NilError(t, err)
	trial := startLog(t, &fakeLog{})
	published, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), trial, newChange("trial", string(document)))
	assert.NilError(t, err)
	newInstance := func(id model.InstanceID, edit func(*model.Status)) jujubepublish.Instance {
		status := model.Status{Instance: id, Ready: true, Members: []model.Member{
			{ID: "e1", State: model.MemberAlive}, {ID: "e2", State: model.MemberSuspect}, {ID: "e3", State: model.MemberDead},
		}, Config: model.ConfigStatus{Known: true, Revision: 1, Digest: published.Outcome.Digest}}
		if edit != nil {
			edit(&status)
		}
		return fakeInstance{status: status}
	}
	upToDate := newInstance("e1", nil)
	for _, test := range []struct {
		name      string
		instances []jujubepublish.Instance
		want      string
	}{
		{"none named", nil, "no instance of the trial environment is named"},
		{"one missing", []jujubepublish.Instance{upToDate}, "e2 is a member, but its status was not read"},
		{"unreachable", []jujubepublish.Instance{upToDate, fakeInstance{err: errors.New("no answer")}}, "no answer; e2 is a member"},
		{"older revision", []jujubepublish.Instance{upToDate, newInstance("e2", func(s *model.Status) { s.Config.Revision = 0 })}, "e2 has revision 0"},
		{"other document", []jujubepublish.Instance{upToDate, newInstance("e2", func(s *model.Status) { s.Config.Digest = "x" })}, "e2 has revision 1"},
		{"not ready", []jujubepublish.Instance{upToDate, newInstance("e2", func(s *model.Status) { s.Ready = false })}, "e2 is not ready"},
		{"unknown", []jujubepublish.Instance{upToDate, newInstance("e2", func(s *model.Status) { s.Config.Known = false })}, "e2 has no configuration"},
	} {
		t.Run(test.name, func(t *testing.T) {
			production := &fakeLog{}
			_, err := jujubepublish.Promote(withTimeout(t, 5*time.Second), trial, startLog(t, production), test.instances, newChange("p", ""))
			assert.ErrorType(t, err, jujubepublish.ErrNotProven{})
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, production.count(), 0)
		})
	}
	production := startLog(t, &fakeLog{faults: []string{"lose"}})
	result, err := jujubepublish.Promote(withTimeout(t, 5*time.Second), trial, production, []jujubepublish.Instance{upToDate, newInstance("e2", nil)}, newChange("p", ""))
	assert.NilError(t, err)
	assert.Equal(t, result.InForce.Document, string(document))
	assert.Equal(t, result.InForce.Digest, published.Outcome.Digest)
	assert.Equal(t, result.Outcome.Note, "promoted from trial revision 1")
}
