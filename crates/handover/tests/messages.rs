//! Frames that are cut, flipped, too long or of another kind, and descriptors beside them.

use asterlatch_handover::codec::{send, FrameReader, Received};
use asterlatch_handover::message::{FrameError, Framed, HandoverMessage, MAX_LENGTH};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

#[test]
fn frames_cut_or_changed_at_any_byte_are_known() {
    let message = HandoverMessage::State((0..200).collect());
    let whole = message.encode().expect("fits");
    assert_eq!(
        HandoverMessage::decode(&whole),
        Ok(Some((message.clone(), whole.len())))
    );
    for at in 0..whole.len() {
        assert_eq!(HandoverMessage::decode(&whole[..at]), Ok(None), "cut at {at}");
        let mut changed = whole.clone();
        changed[at] ^= 0x40;
        let read = HandoverMessage::decode(&changed);
        assert!(
            read != Ok(Some((message.clone(), whole.len()))),
            "changed at {at}"
        );
    }
    let mut long = ((MAX_LENGTH + 1) as u32).to_be_bytes().to_vec();
    long.extend([0; 40]);
    assert_eq!(HandoverMessage::decode(&long), Err(FrameError::TooLong));
    assert_eq!(
        HandoverMessage::State(vec![0; MAX_LENGTH + 1]).encode(),
        Err(FrameError::TooLong)
    );
}

#[test]
fn messages_come_in_order_with_their_descriptors() {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    let state = HandoverMessage::State(vec![7; 3_000_000]);
    let (sent, beside) = (state.clone(), listener.try_clone().expect("a copy"));
    let sending = std::thread::spawn(move || {
        send(&ours, &HandoverMessage::Hello { version: 1 }, &[]).expect("is sent");
        send(&ours, &sent, &[beside.as_fd()]).expect("is sent");
        send(&ours, &HandoverMessage::Commit, &[]).expect("is sent");
    });
    let mut reader = FrameReader::<HandoverMessage>::new(theirs);
    let mut came = || match reader.read() {
        Received::Message(message, descriptors) => (message, descriptors),
        other => panic!("{other:?}"),
    };
    assert_eq!(came().0, HandoverMessage::Hello { version: 1 });
    let (message, descriptors) = came();
    assert!(
        message == state && descriptors.len() == 1,
        "{} descriptors",
        descriptors.len()
    );
    assert_eq!(came().0, HandoverMessage::Commit);
    sending.join().expect("ends");
    drop(listener);
    // What came is the same socket, also when the first holder is gone.
    let theirs = TcpListener::from(descriptors.into_iter().next().expect("one"));
    let mut client = TcpStream::connect(address).expect("listens");
    let (mut taken, _) = theirs.accept().expect("accepts");
    client.write_all(b"x").expect("is written");
    let mut byte = [0];
    taken.read_exact(&mut byte).expect("is read");
    assert_eq!(&byte, b"x");
    assert!(matches!(reader.read(), Received::Closed));
}
