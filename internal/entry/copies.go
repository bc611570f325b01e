package entry

// ownerCopies counts the copies of one submission at one owner. An owner that lost
// a cell and got it back, or whose stream broke, may have more than one; that
// it refuses one says nothing of the others.
type ownerCopies struct {
	owner string
	// unanswered copies have no answer yet.
	unanswered int
	// streamBroken tells that a stream broke with copies that had no answer. The
	// owner may still read them.
	streamBroken bool
}

// copiesAt returns the count of an owner.
func (j *pendingSubmission) copiesAt(owner string) *ownerCopies {
	for i := range j.copies {
		if j.copies[i].owner == owner {
			return &j.copies[i]
		}
	}
	j.copies = append(j.copies, ownerCopies{owner: owner})
	return &j.copies[len(j.copies)-1]
}

// recordSent notes that an owner was sent a copy.
func (j *pendingSubmission) recordSent(to ownerRef) {
	j.sentTo, j.everSent = to, true
	j.copiesAt(to.id).unanswered++
}

// allowResend lets the submission go out again once the owner that answered has
// no copy left.
func (j *pendingSubmission) allowResend(from ownerRef, c *ownerCopies) {
	if j.sentTo.id == from.id && j.sentTo.stream == from.stream && c.unanswered == 0 {
		j.sentTo = ownerRef{}
	}
}
