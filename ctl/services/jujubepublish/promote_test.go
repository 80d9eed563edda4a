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

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

type fakeInstance struct {
	status model.Status
	err    error
}

func (f fakeInstance) Address() string { return string(f.status.Instance) }

func (f fakeInstance) Status(context.Context) (model.Status, error) { return f.status, f.err }

// Guards against a document that reaches production without having been in force on the whole trial environment, and
// against one that is changed on the way.
func TestPromote(t *testing.T) {
	document, err := os.ReadFile("../../../examples/himal-dan.yaml")
	assert.NilError(t, err)
	trial := serve(t, &fakeLog{})
	published, err := jujubepublish.Publish(within(t, 5*time.Second), trial, newChange("trial", string(document)))
	assert.NilError(t, err)
	instance := func(id model.InstanceID, edit func(*model.Status)) jujubepublish.Instance {
		status := model.Status{Instance: id, Ready: true, Members: []model.Member{
			{ID: "e1", State: model.MemberAlive}, {ID: "e2", State: model.MemberSuspect}, {ID: "e3", State: model.MemberDead},
		}, Config: model.ConfigStatus{Known: true, Revision: 1, Digest: published.Outcome.Digest}}
		if edit != nil {
			edit(&status)
		}
		return fakeInstance{status: status}
	}
	good := instance("e1", nil)
	for _, test := range []struct {
		name      string
		instances []jujubepublish.Instance
		want      string
	}{
		{"none named", nil, "no instance of the trial environment is named"},
		{"one missing", []jujubepublish.Instance{good}, "e2 is a member, but its status was not read"},
		{"unreachable", []jujubepublish.Instance{good, fakeInstance{err: errors.New("no answer")}}, "no answer; e2 is a member"},
		{"older revision", []jujubepublish.Instance{good, instance("e2", func(s *model.Status) { s.Config.Revision = 0 })}, "e2 has revision 0"},
		{"other document", []jujubepublish.Instance{good, instance("e2", func(s *model.Status) { s.Config.Digest = "x" })}, "e2 has revision 1"},
		{"not ready", []jujubepublish.Instance{good, instance("e2", func(s *model.Status) { s.Ready = false })}, "e2 is not ready"},
		{"unknown", []jujubepublish.Instance{good, instance("e2", func(s *model.Status) { s.Config.Known = false })}, "e2 knows no"},
	} {
		t.Run(test.name, func(t *testing.T) {
			production := &fakeLog{}
			_, err := jujubepublish.Promote(within(t, 5*time.Second), trial, serve(t, production), test.instances, newChange("p", ""))
			assert.ErrorType(t, err, jujubepublish.ErrNotProven{})
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, production.count(), 0)
		})
	}
	production := serve(t, &fakeLog{plan: []string{"lose"}})
	result, err := jujubepublish.Promote(within(t, 5*time.Second), trial, production, []jujubepublish.Instance{good, instance("e2", nil)}, newChange("p", ""))
	assert.NilError(t, err)
	assert.Equal(t, result.InForce.Document, string(document))
	assert.Equal(t, result.InForce.Digest, published.Outcome.Digest)
	assert.Equal(t, result.Outcome.Note, "promoted from trial revision 1")
}
