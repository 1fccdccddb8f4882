package desired

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Errors of a Publisher.
var (
	// ErrUnconfirmed is returned if the publication may or may not have been
	// appended. It may still take effect later. Publishing again is safe: of two
	// publications with the same base at most one is accepted.
	ErrUnconfirmed = errors.New("desired: the publication may or may not be in the log")
	// ErrUndecided is returned if the publication is in the log but the version
	// that was in force before it is unknown to this reader.
	ErrUndecided = errors.New("desired: the publication is not decided yet")
	// ErrNothingToRecover is returned if the version in force is known, so that a
	// publication must be based on it.
	ErrNothingToRecover = errors.New("desired: the version in force is known; publish on its base instead")
)

// Publication is a request to publish a document.
type Publication struct {
	Base     uint64
	Document []byte
	Author   string
	Note     string
	// Recover publishes although every copy of the version in force has expired
	// from the log. Base is then ignored.
	Recover bool
}

// Publisher reads and publishes configuration directly on the log service, so that
// it works while all other processes of the system are down.
type Publisher struct {
	log    commitlog.Log
	logger *log.Logger
}

// NewPublisher returns a publisher. logger receives the events of the commit log
// and may be nil.
func NewPublisher(l commitlog.Log, logger *log.Logger) *Publisher {
	if logger == nil {
		logger = log.New(io.Discard)
	}
	return &Publisher{log: l, logger: logger}
}

// Snapshot is the state of the configuration stream at one time.
type Snapshot struct {
	// InForce is nil if no version is in force or the version is unknown.
	InForce *Version
	// Known is false if the log no longer determines which version is in force.
	Known bool
	// History lists the retained publications, oldest first.
	History []Verdict
}

// Read reads the log to its end.
func (p *Publisher) Read(ctx context.Context) (Snapshot, error) {
	r, err := openReader(ctx, p.log, p.logger, newID())
	if err != nil {
		return Snapshot{}, err
	}
	defer r.close()
	return r.snapshot(), nil
}

func (r *reader) snapshot() Snapshot {
	s := Snapshot{Known: r.table.Known(), History: r.table.History()}
	if v, ok := r.table.InForce(); ok {
		s.InForce = &v
	}
	return s
}

// Document returns the published document of a version.
func (p *Publisher) Document(ctx context.Context, version uint64) ([]byte, error) {
	if version == 0 {
		return nil, errors.New("desired: version 0 has no document")
	}
	stream := commitlog.NewStream(p.log, Stream, commitlog.Options{Writer: newID(), Logger: p.logger})
	entries, err := stream.Load(ctx, commitlog.Offset(version-1))
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 || entries[0].Kind != KindPublish {
		return nil, errors.Errorf("desired: no publication has the number %d", version)
	}
	var record PublishRecord
	if err := entries[0].Decode(&record); err != nil {
		return nil, err
	}
	return record.Document, nil
}

// Publish appends a publication and returns its verdict. An invalid document and
// one whose base is no longer in force are refused before anything is appended;
// the offset of the returned verdict has no meaning then. An append whose response
// is lost is repeated with the same sequence number, so that it is applied once.
func (p *Publisher) Publish(ctx context.Context, pub Publication) (Verdict, error) {
	if _, err := Parse("document", pub.Document); err != nil {
		return Verdict{}, err
	}
	id := newID()
	r, err := openReader(ctx, p.log, p.logger, id)
	if err != nil {
		return Verdict{}, err
	}
	defer r.close()
	record := PublishRecord{
		ID: id, Base: pub.Base, Document: pub.Document, Author: pub.Author,
		Note: pub.Note, Recover: pub.Recover, Seen: r.stream.NextOffset(),
	}
	if v, err := r.precheck(record); err != nil || v.State == Conflicted {
		return v, err
	}
	return r.publish(ctx, record)
}

// precheck returns the verdict as far as it is determined without an append.
func (r *reader) precheck(p PublishRecord) (Verdict, error) {
	if !r.table.Known() {
		return Verdict{State: Undecided}, nil
	}
	if p.Recover {
		return Verdict{}, ErrNothingToRecover
	}
	v := Verdict{State: Undecided, ID: p.ID, Base: p.Base, Author: p.Author, Note: p.Note}
	now, _ := r.table.InForce()
	if now.Number != p.Base {
		v.State, v.Winner, v.WinnerAuthor = Conflicted, now.Number, now.Author
	}
	return v, nil
}

func (r *reader) publish(ctx context.Context, p PublishRecord) (Verdict, error) {
	entry, err := commitlog.NewEntry(KindPublish, p)
	if err != nil {
		return Verdict{}, err
	}
	pos, err := r.stream.Commit(ctx, entry)
	if errors.Is(err, commitlog.ErrUnconfirmed) {
		return Verdict{}, errors.Wrapf(ErrUnconfirmed, "publication %s", p.ID)
	}
	if err != nil {
		return Verdict{}, errors.Wrap(err, "desired: publish")
	}
	return r.await(ctx, pos.Offset)
}

// await blocks until the publication at an offset is decided and returns its
// verdict.
func (r *reader) await(ctx context.Context, at commitlog.Offset) (Verdict, error) {
	for {
		changed := r.table.Changed()
		v, ok := r.table.Verdict(at)
		if ok && v.State != Undecided {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v, errors.Wrapf(ErrUndecided, "publication at offset %d", at)
		}
	}
}
