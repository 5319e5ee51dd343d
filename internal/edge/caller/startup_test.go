package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// newCertificate returns a TLS configuration with a new self-signed
// certificate.
func newCertificate(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}}
}

// TestAuthentication checks which callers may connect. Each case wants the SQLSTATE
// of the error, "broken" for an error without a SQLSTATE, or "" for none. The options
// of the case replace those of the test setup, except for the listen address and the
// prefix of idempotency keys, without which no server starts.
func TestAuthentication(t *testing.T) {
	hash, err := NewPasswordHash("regatta")
	if err != nil {
		t.Fatal(err)
	}
	users := Users{"officer": hash}
	secured := newCertificate(t)
	cases := []struct {
		name    string
		options Options
		user    string
		mode    string
		want    string
	}{
		{"no password needed", Options{Trust: true}, "anybody", "disable", ""},
		{"no users", Options{}, "officer:regatta", "disable", "28000"},
		{"password", Options{Users: users}, "officer:regatta", "disable", ""},
		{"wrong password", Options{Users: users}, "officer:dinghy", "disable", "28P01"},
		{"unknown user", Options{Users: users}, "sailor:regatta", "disable", "28P01"},
		{"password over TLS", Options{Users: users, TLS: secured}, "officer:regatta", "require", ""},
		{"TLS required", Options{Users: users, TLS: secured, RequireTLS: true}, "officer:regatta", "disable", "28000"},
		{"TLS required and used", Options{Users: users, TLS: secured, RequireTLS: true}, "officer:regatta", "require", ""},
		{"TLS not configured", Options{Trust: true}, "officer", "require", "broken"},
		{"proxy parameter", Options{Trust: true}, "officer", "disable&eelgrassfold.kind=post", ""},
		{"unknown proxy parameter", Options{Trust: true}, "officer", "disable&eelgrassfold.rank=1", "22023"},
		{"setting", Options{Trust: true}, "officer", "disable&search_path=a'b", ""},
		{"not a setting", Options{Trust: true}, "officer", "disable&search+path=a", "22023"},
		{"options", Options{Trust: true}, "officer", "disable&options=-c+a%3Db", "0A000"},
		{"token of another group", Options{Trust: true}, "officer", "disable&eelgrassfold.token=libro/7:1", "22023"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t, func(_ *testSetup, options *Options) {
				test.options.ListenAddress, test.options.IdempotencyKeyPrefix = options.ListenAddress, options.IdempotencyKeyPrefix
				*options = test.options
			})
			url := "postgres://" + test.user + "@" + setup.server.Address().String() + "/ratings?sslmode=" + test.mode
			conn, err := pgx.Connect(context.Background(), url)
			if diff := cmp.Diff(test.want, sqlStateOf(err)); diff != "" {
				t.Fatal(diff, err)
			}
			if err == nil {
				err = conn.QueryRow(context.Background(), "select a").Scan(new(string))
				conn.Close(context.Background())
			}
			if test.want == "" && err != nil {
				t.Error(err)
			}
		})
	}
}

// TestInvalidOptions starts servers with invalid options.
func TestInvalidOptions(t *testing.T) {
	for name, options := range map[string]Options{
		"TLS without certificate":   {IdempotencyKeyPrefix: "i1", RequireTLS: true},
		"no idempotency key prefix": {},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewServer(options, nil, nil, logr.Discard()).Start(context.Background())
			var optionsErr *OptionsError
			if !errors.As(err, &optionsErr) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestPasswordHash checks that String and ParsePasswordHash are inverse, and
// that malformed hashes are rejected.
func TestPasswordHash(t *testing.T) {
	hash, err := NewPasswordHash("regatta")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParsePasswordHash(hash.String())
	if err != nil || !parsed.matches("regatta") || parsed.matches("Regatta") {
		t.Error("the hash is not the same after String and ParsePasswordHash")
	}
	for _, text := range []string{"", "regatta", "pbkdf2-sha256$0$AA$AA", "pbkdf2-sha256$1$AA$AA", "md5$1$AAAAAAAAAAAAAAAAAAAAAA$AA"} {
		_, err = ParsePasswordHash(text)
		var hashErr *PasswordHashError
		if !errors.As(err, &hashErr) {
			t.Errorf("%q is accepted", text)
		}
	}
}

// invalidStartups lists initial data that violates the protocol or ends the
// connection.
var invalidStartups = map[string][]byte{
	"nothing":                      {},
	"http":                         []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
	"zero length":                  {0, 0, 0, 0, 0, 0, 0, 0},
	"huge length":                  {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0},
	"negative length":              {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0},
	"protocol 2":                   startupPacket(0x20000, "user\x00a\x00\x00"),
	"no terminator":                startupPacket(0x30000, "user\x00a"),
	"no user":                      startupPacket(0x30000, "\x00"),
	"short cancel":                 startupPacket(codeCancel, "\x00\x00"),
	"cancel of an unknown session": startupPacket(codeCancel, "\x00\x00\x00\x01abcd"),
	"TLS twice":                    append(startupPacket(codeTLS, ""), startupPacket(codeTLS, "")...),
	"encryption":                   startupPacket(codeEncrypted, ""),
	"valid, then invalid":          append(startupPacket(0x30000, "user\x00a\x00\x00"), "\xff\xff\xff\xff\xff\xff"...),
}

// TestInvalidStartup sends initial data that is not a valid session. Each
// connection must end, and the server must continue.
func TestInvalidStartup(t *testing.T) {
	setup := newTestSetup(t)
	for name, packet := range invalidStartups {
		t.Run(name, func(t *testing.T) {
			caller := dialRaw(t, setup)
			caller.conn.Write(packet)
			caller.conn.(*net.TCPConn).CloseWrite()
			_, err := io.Copy(io.Discard, caller.conn)
			if isTimeout(err) {
				t.Error("the connection stays open")
			}
		})
	}
	startRaw(t, setup).query("select a")
}

// FuzzCaller sends arbitrary data from the start of a connection. The session
// must end with the connection.
func FuzzCaller(f *testing.F) {
	start := startupPacket(0x30000, "user\x00a\x00database\x00ratings\x00\x00")
	encode := func(messages ...pgproto3.FrontendMessage) []byte {
		raw := append([]byte(nil), start...)
		for _, message := range messages {
			raw, _ = message.Encode(raw)
		}
		return raw
	}
	for _, packet := range invalidStartups {
		f.Add(packet)
	}
	f.Add(encode(&pgproto3.Query{String: "SHOW eelgrassfold.token"}))
	f.Add(encode(&pgproto3.Query{String: "SET eelgrassfold.kind = 'a' /*kind='b'*/"}))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: "select a"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Flush{}, &pgproto3.Terminate{}))
	f.Add(append(encode(), 'B', 0, 0, 0, 5, 'x'))
	f.Add(append(encode(), 'Q', 0, 0, 0, 5, 'x'))
	core := &fakeCore{keys: map[model.RequestID]string{}, discardEvents: true}
	server := NewServer(Options{ListenAddress: netip.AddrPort{}, IdempotencyKeyPrefix: "i1", Trust: true, MaxMessageSize: 1 << 16}, nil, rejectingCore{core}, logr.Discard())
	core.server = server
	f.Fuzz(func(_ *testing.T, raw []byte) {
		callerEnd, serverEnd := net.Pipe()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			server.serve(ctx, serverEnd, server.limits.Open(ctx, serverEnd))
		}()
		go io.Copy(io.Discard, callerEnd)
		callerEnd.SetWriteDeadline(time.Now().Add(rawTimeout))
		callerEnd.Write(raw)
		callerEnd.Close()
		<-ended
	})
}
