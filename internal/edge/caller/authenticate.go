package caller

import (
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// hashScheme is the prefix of a password hash.
	hashScheme = "pbkdf2-sha256"
	// defaultHashRounds is the number of PBKDF2 rounds of a new hash.
	defaultHashRounds = 60_000
	// maxHashRounds is the maximum number of rounds that ParsePasswordHash
	// accepts.
	maxHashRounds = 10_000_000
	// saltSize and hashSize are in bytes.
	saltSize = 16
	hashSize = 32
)

// Users maps the names of the users who may connect to their password hashes.
type Users map[model.CallerID]PasswordHash

// PasswordHash is a salted PBKDF2 hash of a password.
type PasswordHash struct {
	rounds int
	salt   []byte
	hash   []byte
}

// PasswordHashError reports text that is not a password hash.
type PasswordHashError struct{ Detail string }

// Error implements error.
func (e *PasswordHashError) Error() string { return "password hash: " + e.Detail }

// NewPasswordHash hashes a password with a new random salt.
func NewPasswordHash(password string) (PasswordHash, error) {
	salt := make([]byte, saltSize)
	_, err := rand.Read(salt)
	if err != nil {
		return PasswordHash{}, err
	}
	hash, err := pbkdf2.Key(sha256.New, password, salt, defaultHashRounds, hashSize)
	return PasswordHash{rounds: defaultHashRounds, salt: salt, hash: hash}, err
}

// ParsePasswordHash parses the format that String writes. Its error is a
// *PasswordHashError.
func ParsePasswordHash(text string) (PasswordHash, error) {
	fields := strings.Split(text, "$")
	if len(fields) != 4 || fields[0] != hashScheme {
		return PasswordHash{}, &PasswordHashError{Detail: "expected " + hashScheme + "$ROUNDS$SALT$HASH"}
	}
	rounds, err := strconv.Atoi(fields[1])
	if err != nil || rounds < 1 || rounds > maxHashRounds {
		return PasswordHash{}, &PasswordHashError{Detail: "bad number of rounds"}
	}
	salt, err := base64.RawStdEncoding.DecodeString(fields[2])
	if err != nil || len(salt) < saltSize {
		return PasswordHash{}, &PasswordHashError{Detail: "bad salt"}
	}
	hash, err := base64.RawStdEncoding.DecodeString(fields[3])
	if err != nil || len(hash) != hashSize {
		return PasswordHash{}, &PasswordHashError{Detail: "bad hash"}
	}
	return PasswordHash{rounds: rounds, salt: salt, hash: hash}, nil
}

// String formats h as "pbkdf2-sha256$ROUNDS$SALT$HASH".
func (h PasswordHash) String() string {
	return strings.Join([]string{
		hashScheme,
		strconv.Itoa(h.rounds),
		base64.RawStdEncoding.EncodeToString(h.salt),
		base64.RawStdEncoding.EncodeToString(h.hash),
	}, "$")
}

// matches reports whether password is the one that was hashed. The comparison
// takes constant time.
func (h PasswordHash) matches(password string) bool {
	hash, err := pbkdf2.Key(sha256.New, password, h.salt, h.rounds, hashSize)
	return err == nil && subtle.ConstantTimeCompare(hash, h.hash) == 1
}

// unknownUserHash is checked for users that do not exist, so that the response
// time does not reveal which users exist.
var unknownUserHash = PasswordHash{rounds: defaultHashRounds, salt: make([]byte, saltSize), hash: make([]byte, hashSize)}

// validate returns an *OptionsError if the options contradict each other.
func (o Options) validate() error {
	if o.RequireTLS && o.TLS == nil {
		return &OptionsError{Detail: "TLS is required but there is no certificate"}
	}
	if o.IdempotencyKeyPrefix == "" {
		return &OptionsError{Detail: "the prefix of idempotency keys is empty"}
	}
	return nil
}

// authenticate requests and checks the caller's password. Without TLS it
// requests one over loopback only, because a password could be read on any
// other path.
func (srv *Server) authenticate(h *handshake) *problem {
	user := h.startup.Parameters["user"]
	if user == "" {
		return &problem{sqlState: stateInvalidAuth, message: "no user name given", fatal: true}
	}
	if srv.options.RequireTLS && !h.usesTLS {
		return &problem{sqlState: stateInvalidAuth, message: "TLS is required", fatal: true}
	}
	if srv.options.Trust {
		return nil
	}
	if len(srv.options.Users) == 0 {
		return &problem{sqlState: stateInvalidAuth, message: "no users are configured", fatal: true}
	}
	if !h.usesTLS && !isLoopback(h.conn) {
		return &problem{sqlState: stateInvalidAuth, message: "TLS is required for a password", fatal: true}
	}
	password, err := h.requestPassword()
	if err != nil {
		return &problem{sqlState: stateProtocolViolation, message: "expected a password", fatal: true}
	}
	hash, known := srv.options.Users[model.CallerID(user)]
	if !known {
		hash = unknownUserHash
	}
	if !hash.matches(password) || !known {
		return &problem{
			sqlState: stateInvalidPassword,
			message:  "password authentication failed for user " + quoted(user),
			fatal:    true,
		}
	}
	return nil
}

func (h *handshake) requestPassword() (string, error) {
	request, _ := (&pgproto3.AuthenticationCleartextPassword{}).Encode(nil)
	_, err := h.conn.Write(request)
	if err != nil {
		return "", err
	}
	frame, err := h.reader.Next()
	if err != nil {
		return "", err
	}
	if frame.Type != 'p' {
		return "", &ProtocolError{Detail: "expected a password"}
	}
	var response pgproto3.PasswordMessage
	err = response.Decode(frame.Body())
	return response.Password, err
}

func isLoopback(conn net.Conn) bool {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && address.IP.IsLoopback()
}
